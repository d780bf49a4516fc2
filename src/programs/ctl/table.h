#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace marigold::ctl {

/// Renders \a rows below \a header in columns; the last column is not padded.
std::string renderTable(
    const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows);

/// Renders an array of objects as a table with one column for each of \a fields.
std::string renderObjects(const nlohmann::json& objects, const std::vector<std::string>& fields);

/// Renders any document: nested objects as lines "path  value", arrays of objects as tables.
std::string renderDocument(const nlohmann::json& document);

/// Returns \a value as text without quotes, on one line and without control characters.
std::string renderScalar(const nlohmann::json& value);

} // namespace marigold::ctl
