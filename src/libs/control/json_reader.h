#pragma once

#include <base/base.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Strict reading of JSON; errors contain the path of the field. Private to the library: included in .cpp
/// files only.

namespace marigold::control::detail {

/// Thrown inside the readers and converted to a `base::error` in the public functions.
struct field_error : std::runtime_error {
    field_error(std::string where, const std::string& text)
        : std::runtime_error(text)
        , path(std::move(where))
    {
    }

    std::string path;
};

/// Returns \a name as one segment of a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view name);

/// Parses \a text; refuses duplicate members and more than 16 nesting levels.
base::result<nlohmann::json> parseJson(std::string_view text);

/// Reads the members of one object; `finish` refuses members that were not read.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string path);

    const std::string& path() const { return m_path; }
    std::string pathOf(std::string_view name) const { return m_path + '/' + escapePointer(name); }

    /// Returns the member \a name, or null if it is absent.
    const nlohmann::json* find(std::string_view name);

    /// Returns the member \a name; throws if it is absent.
    const nlohmann::json& require(std::string_view name);

    std::string text(std::string_view name, std::optional<std::string> fallback = {});
    bool flag(std::string_view name, std::optional<bool> fallback = {});
    std::uint64_t count(std::string_view name, std::uint64_t minimum, std::uint64_t maximum,
        std::optional<std::uint64_t> fallback = {});

    /// Reads a number greater than \a minimum (or equal to it if \a includeMinimum is set) and at most
    /// \a maximum.
    double number(std::string_view name, double minimum, double maximum, std::optional<double> fallback = {},
        bool includeMinimum = false);
    std::vector<std::string> texts(std::string_view name);

    /// Calls \a visit for every member of the object \a name; an absent object has none.
    void members(std::string_view name,
        const std::function<void(const std::string&, const nlohmann::json&, std::string)>& visit);

    void finish() const;

private:
    const nlohmann::json& m_value;
    std::string m_path;
    std::vector<std::string> m_readNames;
};

} // namespace marigold::control::detail
