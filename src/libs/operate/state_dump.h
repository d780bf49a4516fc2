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
    /// Returns the state of a module as JSON text. It must not hold secrets, prompts or answers.
    using section = std::function<std::string()>;

    struct options {
        std::string process = {};
        std::size_t sectionBytes = 1'048'576; ///< A larger section is replaced by an error.
        const base::event_log* log = nullptr;
    };

    state_dump(options opts, const base::clock& time);

    /// Registers \a give under \a name; a known name is replaced. The callee must outlive the registration.
    void add(std::string name, section give);

    /// Ends the registration of \a name.
    void remove(std::string_view name);

    /// Renders all sections: {"process", "time_us", "sections": {NAME: STATE}}. A section that fails shows
    /// {"error": TEXT} and leaves the others as they are.
    std::string render() const;

private:
    std::string renderSection(const std::string& name, const section& give) const;

    options m_options;
    const base::clock& m_clock;
    std::map<std::string, section, std::less<>> m_sections;
};

} // namespace marigold::operate
