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
/// Strict reading of JSON with the path of the bad field. Private to the library: included in .cpp files
/// only.

namespace marigold::control::detail {

/// Raised inside the readers and turned into a `base::error` at the public functions.
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

/// Parses \a text; refuses duplicate members and more than 16 levels.
base::result<nlohmann::json> parseJson(std::string_view text);

/// Reads the members of one object; `finish` refuses those that nobody asked for.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string path);

    const std::string& path() const { return m_path; }
    std::string pathOf(std::string_view name) const { return m_path + '/' + escapePointer(name); }

    /// Returns the member \a name, or null when it is absent.
    const nlohmann::json* find(std::string_view name);

    /// Returns the member \a name; an error when it is absent.
    const nlohmann::json& need(std::string_view name);

    std::string text(std::string_view name, std::optional<std::string> absent = {});
    bool flag(std::string_view name, std::optional<bool> absent = {});
    std::uint64_t count(std::string_view name, std::uint64_t low, std::uint64_t high,
        std::optional<std::uint64_t> absent = {});

    /// Reads a number above \a low (or equal to it if \a withLow) and at most \a high.
    double number(std::string_view name, double low, double high, std::optional<double> absent = {},
        bool withLow = false);
    std::vector<std::string> texts(std::string_view name);

    /// Calls \a each for the members of the object \a name; an absent object has none.
    void members(std::string_view name,
        const std::function<void(const std::string&, const nlohmann::json&, std::string)>& each);

    void finish() const;

private:
    const nlohmann::json& m_value;
    std::string m_path;
    std::vector<std::string> m_known;
};

} // namespace marigold::control::detail
