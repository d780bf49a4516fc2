#pragma once

#include "setting.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::settings {

/// Where the values of a process come from; a later member takes precedence over an earlier one.
struct settings_sources {
    std::string file = {}; ///< Path of a TOML file; empty for none.
    std::vector<std::string> environment = {}; ///< "NAME=value" entries, as `systemEnvironment` returns.
    std::vector<std::string> overrides = {}; ///< "section.key=value" entries of `--set`.
};

/// Returns the environment of this process.
std::vector<std::string> systemEnvironment();

/// A registered setting with its present value, for the dump of a process.
struct setting_state {
    std::string name;
    std::string value; ///< "(secret)" for a secret that is set.
    std::string source; ///< "default", "FILE:LINE:COLUMN", "environment" or "--set".
};

/// Reads typed settings into the members of option structs.
///
/// Each option struct has `void registerSettings(settings_reader&)`, which calls `add` for each of its
/// members. The members hold the defaults; they must outlive the reader. `load` then reads all sources. Names
/// are lower-case dotted paths ("section.key"); a duration's name ends in "_ms".
class settings_reader {
public:
    /// Registers \a member under \a name. A malformed or repeated name is a defect that `load` reports.
    void add(std::string name, setting_target member, setting_options options);

    /// Registers the enumeration \a member under \a name; \a choices lists its values with their names.
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

    /// Registers a check over several members, which runs after all sources were read. It returns a sentence
    /// that names the setting at fault, or an empty text.
    void addCheck(std::function<std::string()> check);

    /// Reads all sources. On an error no member changes; the message has one line for each fault (at most
    /// 20), and `field` names the first setting at fault.
    base::result<void> load(const settings_sources& sources);

    /// As `load`, with the content of the file given as \a text and its name in messages in `sources.file`.
    base::result<void> loadText(std::string_view text, const settings_sources& sources);

    /// Returns the names of MARIGOLD_ variables of the last `load` that belong to no section.
    const std::vector<std::string>& ignoredVariables() const { return m_ignoredVariables; }

    /// Returns each setting with its present value and its source, in order of registration.
    std::vector<setting_state> states() const;

    /// Renders a reference of all registered settings in Markdown, one table a section.
    std::string settingsReference() const;

private:
    struct staged_value {
        setting_value value;
        std::string source;
    };

    struct fault {
        std::string place;
        std::string message;
        std::string field;
    };

    void insert(setting added);
    void readFile(std::string_view text, const std::string& file);
    void readEnvironment(std::span<const std::string> environment);
    void readOverrides(std::span<const std::string> overrides);
    void stage(std::size_t index, base::result<setting_value> value, std::string source, std::string place);
    void checkRequired();
    bool apply();
    std::size_t indexOf(std::string_view name) const;
    std::string unknownKey(std::string_view kind, std::string_view name) const;
    base::error faults() const;

    std::vector<setting> m_settings;
    std::vector<std::function<std::string()>> m_checks;
    std::vector<staged_value> m_staged;
    std::vector<std::string> m_sources;
    std::vector<fault> m_faults;
    std::vector<std::string> m_defects;
    std::vector<std::string> m_ignoredVariables;
};

} // namespace marigold::settings
