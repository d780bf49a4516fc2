#pragma once

#include "setting.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::settings {

/// Sources of setting values; later members take precedence over earlier ones.
struct settings_sources {
    std::string file = {}; ///< Path of a TOML file; empty for none.
    std::vector<std::string> environment = {}; ///< "NAME=value" entries, as returned by `systemEnvironment`.
    std::vector<std::string> overrides = {}; ///< "section.key=value" entries of `--set`.
};

/// Returns the environment of this process.
std::vector<std::string> systemEnvironment();

/// A registered setting with its current value, for the dump of a process.
struct setting_state {
    std::string name;
    std::string value; ///< "(secret)" for a secret that is set.
    std::string source; ///< "default", "FILE:LINE:COLUMN", "environment" or "--set".
};

/// Reads typed settings into the members of option structs.
///
/// Each option struct has a function `void registerSettings(settings_reader&)` that calls `add` for each of
/// its members. The members contain the default values and must outlive the reader. `load` then reads all
/// sources. Names are lower-case dotted paths ("section.key"); names of durations end with "_ms".
class settings_reader {
public:
    /// Registers \a member under \a name. A malformed or duplicate name is an error that `load` reports.
    void add(std::string name, setting_target member, setting_options options);

    /// Registers \a member of enumeration type under \a name. \a choices lists its values with their names.
    template <typename E>
    void addChoice(
        std::string name, E& member, std::vector<std::pair<std::string, E>> choices, setting_options options)
    {
        setting_choice choice;
        for (const auto& [text, value] : choices)
            choice.names.push_back(text);
        choice.read = [&member, choices] {
            std::size_t index = 0;
            while (index + 1 < choices.size() && choices[index].second != member)
                ++index;
            return index;
        };
        choice.write = [&member, choices](std::size_t index) { member = choices.at(index).second; };
        insert(setting(std::move(name), std::move(choice), std::move(options)));
    }

    /// Registers a check of several members that runs after all sources have been read. It returns a message
    /// that names the invalid setting, or an empty string.
    void addCheck(std::function<std::string()> check);

    /// Reads all sources. On failure, no member is changed; the message has one line for each error (at most
    /// 20), and `field` names the first invalid setting.
    base::result<void> load(const settings_sources& sources);

    /// Like `load`, with \a text as the content of the file. `sources.file` is its name in messages.
    base::result<void> loadText(std::string_view text, const settings_sources& sources);

    /// Returns the names of the MARIGOLD_ variables that did not match any section in the last `load`.
    const std::vector<std::string>& ignoredVariables() const { return m_ignoredVariables; }

    /// Returns the settings with their current values and sources, in order of registration.
    std::vector<setting_state> states() const;

    /// Returns a reference of all registered settings in Markdown, with one table per section.
    std::string settingsReference() const;

private:
    struct staged_value {
        setting_value value;
        std::string source;
    };

    struct load_error {
        std::string location;
        std::string message;
        std::string field;
    };

    void insert(setting added);
    void readFile(std::string_view text, const std::string& file);
    void readEnvironment(std::span<const std::string> environment);
    void readOverrides(std::span<const std::string> overrides);
    void stage(
        std::size_t index, base::result<setting_value> value, std::string source, std::string location);
    void checkRequired();
    bool apply();
    std::size_t indexOf(std::string_view name) const;
    std::string unknownKey(std::string_view kind, std::string_view name) const;
    base::error combinedError() const;

    std::vector<setting> m_settings;
    std::vector<std::function<std::string()>> m_checks;
    std::vector<staged_value> m_staged;
    std::vector<std::string> m_sources;
    std::vector<load_error> m_errors;
    std::vector<std::string> m_registrationErrors;
    std::vector<std::string> m_ignoredVariables;
};

} // namespace marigold::settings
