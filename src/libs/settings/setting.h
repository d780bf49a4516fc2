#pragma once

#include <base/base.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marigold::settings {

enum class setting_type {
    Integer,
    Number,
    Text,
    Boolean,
    Duration, ///< Whole milliseconds.
    TextList,
};

/// Returns the name of \a type for messages and the settings reference.
std::string_view nameOf(setting_type type);

/// Required format of a text or of each entry of a list of text.
enum class setting_format {
    Any,
    Name, ///< 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'.
    IpAddress, ///< IPv4 or IPv6 address.
    Endpoint, ///< IP:PORT, with an IPv6 address in brackets.
    HttpUrl, ///< http:// or https:// and an endpoint, without a path.
    MessageKey, ///< ID:SECRET with an ID of 1 to 16 and a SECRET of 32 to 128 characters.
};

/// Returns the reason why \a text does not conform to \a format; empty if it does. An empty text is always
/// valid; use setting_options::required for a setting that must not be empty.
std::string formatError(setting_format format, std::string_view text);

/// Description and bounds of a setting.
struct setting_options {
    std::string description; ///< One sentence for the reference.
    std::string unit = {}; ///< Unit of the value; "ms" for durations.
    /// Minimum value; applies to the length in bytes of text and the number of list entries.
    std::optional<double> minimum = {};
    std::optional<double> maximum = {}; ///< Maximum value; applies like `minimum`.
    setting_format format = setting_format::Any;
    bool required = false; ///< Text or list must not be empty after all sources have been read.
    bool secret = false; ///< The value is never shown.
};

/// A value of any type; durations are integers in milliseconds.
using setting_value = std::variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

/// Returns \a value as text for dumps and the settings reference.
std::string renderValue(const setting_value& value);

/// The member of an option struct that a setting reads and writes.
using setting_target
    = std::variant<std::int32_t*, std::int64_t*, std::uint16_t*, std::uint32_t*, std::uint64_t*, double*,
        bool*, std::string*, std::chrono::milliseconds*, base::duration*, std::vector<std::string>*>;

/// Binding of a text setting to an enumeration.
struct setting_choice {
    std::vector<std::string> names;
    std::function<std::size_t()> read; ///< Returns the index of the current value in `names`.
    std::function<void(std::size_t)> write;
};

/// One registered setting, bound to the member that holds its default.
class setting {
public:
    setting(std::string name, setting_target target, setting_options options);
    setting(std::string name, setting_choice choice, setting_options options);

    const std::string& name() const { return m_name; }
    setting_type type() const { return m_type; }
    const setting_options& options() const { return m_options; }
    const std::vector<std::string>& choices() const { return m_choice.names; }
    const setting_value& defaultValue() const { return m_default; }

    /// Returns the name of the environment variable: MARIGOLD_ and the upper-case path with '_' for '.'.
    std::string variable() const;

    /// Returns the allowed range as text; empty if any value of the type is allowed.
    std::string range() const;

    /// Parses the value of a variable or flag. Entries of a list are separated by commas.
    base::result<setting_value> parse(std::string_view text) const;

    /// Converts a TOML value to the type of the setting and validates its range.
    base::result<setting_value> check(setting_value value) const;

    /// Returns the value of the bound member.
    setting_value read() const;

    /// Assigns \a value, which must have been returned by `check` or `parse`, to the bound member.
    void write(const setting_value& value) const;

private:
    tl::unexpected<base::error> invalidValue(std::string message) const;
    base::result<setting_value> checkRange(setting_value value) const;
    std::string textError(std::string_view text) const;

    std::string m_name;
    setting_target m_target;
    setting_choice m_choice;
    setting_options m_options;
    setting_type m_type;
    setting_value m_default;
};

} // namespace marigold::settings
