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

/// Returns the name of \a type as the reference and messages show it.
std::string_view nameOf(setting_type type);

/// What a text, or each entry of a list of text, must look like.
enum class setting_format {
    Any,
    Name, ///< 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'.
    IpAddress, ///< IPv4 or IPv6 number.
    Endpoint, ///< IP:PORT, with an IPv6 number in brackets.
    HttpUrl, ///< http:// or https:// and an endpoint, without a path.
    MessageKey, ///< ID:SECRET with an ID of 1 to 16 and a SECRET of 32 to 128 characters.
};

/// Returns what \a text violates of \a format; empty if nothing. An empty text is always allowed; a setting
/// that must not be empty is `required`.
std::string formatFault(setting_format format, std::string_view text);

/// Description and bounds of a setting.
struct setting_options {
    std::string description; ///< One sentence for the reference.
    std::string unit = {}; ///< Unit of the value; "ms" for durations.
    std::optional<double> minimum
        = {}; ///< Smallest value; for text the length in bytes, for lists the count.
    std::optional<double> maximum = {}; ///< Largest value; as `minimum`.
    setting_format format = setting_format::Any;
    bool required = false; ///< A text or list must not be empty once all sources are read.
    bool secret = false; ///< The value is shown nowhere.
};

/// A value of any type; durations are integers in milliseconds.
using setting_value = std::variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

/// Returns \a value as the reference and dumps show it.
std::string renderValue(const setting_value& value);

/// The member of an option struct that a setting reads and writes.
using setting_target
    = std::variant<std::int32_t*, std::int64_t*, std::uint16_t*, std::uint32_t*, std::uint64_t*, double*,
        bool*, std::string*, std::chrono::milliseconds*, base::duration*, std::vector<std::string>*>;

/// A text setting that stands for an enumerator.
struct setting_choice {
    std::vector<std::string> names;
    std::function<std::size_t()> read; ///< Index of the present value in `names`.
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

    /// Returns the name of the environment variable: MARIGOLD_ and the path in capitals, '.' as '_'.
    std::string variable() const;

    /// Returns the allowed range as text; empty if any value of the type is allowed.
    std::string range() const;

    /// Converts text of a variable or flag; entries of a list are separated by commas.
    base::result<setting_value> parse(std::string_view text) const;

    /// Converts a TOML value to the type of the setting and checks its range.
    base::result<setting_value> check(setting_value value) const;

    /// Reads the bound member.
    setting_value read() const;

    /// Writes \a value, which `check` or `parse` returned, to the bound member.
    void write(const setting_value& value) const;

private:
    tl::unexpected<base::error> fault(std::string message) const;
    base::result<setting_value> checkRange(setting_value value) const;
    std::string textFault(std::string_view text) const;

    std::string m_name;
    setting_target m_target;
    setting_choice m_choice;
    setting_options m_options;
    setting_type m_type;
    setting_value m_default;
};

} // namespace marigold::settings
