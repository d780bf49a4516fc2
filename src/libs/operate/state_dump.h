#pragma once

#include <base/base.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marigold::operate {

/// Collects the state of all modules of a process into one JSON object.
class state_dump {
public:
    /// Returns the state of a module as JSON text. It must not contain secrets, prompts or answers.
    using section = std::function<std::string()>;

    struct options {
        std::string process = {};
        std::size_t sectionBytes = 1'048'576; ///< A larger section is replaced by an error.
        const base::event_log* log = nullptr;
    };

    state_dump(options opts, const base::clock& time);

    /// Registers \a provider as section \a name and replaces an existing one. Objects used by \a provider
    /// must outlive the registration.
    void add(std::string name, section provider);

    /// Removes the section \a name.
    void remove(std::string_view name);

    /// Renders all sections: {"process", "time_us", "sections": {NAME: STATE}}. A section that fails is
    /// rendered as {"error": TEXT} and does not affect the others.
    std::string render() const;

private:
    std::string renderSection(const std::string& name, const section& provider) const;

    options m_options;
    const base::clock& m_clock;
    std::map<std::string, section, std::less<>> m_sections;
};

} // namespace marigold::operate
