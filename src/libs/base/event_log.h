#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::base {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Returns the lower-case name of \a level.
std::string_view nameOf(log_level level);

/// Entry of the event catalogue. Each library defines its events in its `events.h`; docs/events.md lists all.
struct event_definition {
    std::string_view id; ///< "MB-NNNN", unique in the project.
    log_level level = log_level::Info;
    std::string_view name; ///< Snake case.
    std::string_view meaning; ///< One sentence.
    std::string_view action; ///< What an operator should do; empty if nothing.
};

/// Field of a logged event. Must not contain secrets or prompt text.
struct event_field {
    std::string_view key;
    std::string value;
};

enum class log_format {
    KeyValue,
    Json,
};

/// Writes events with their numbers, one line each, to standard error or to the configured output.
class event_log {
public:
    using sink = std::function<void(std::string_view line)>;
    using observer = std::function<void(const event_definition& event)>;
    using leveled_sink = std::function<void(std::string_view line, log_level level)>;

    struct options {
        log_level minimum = log_level::Info;
        log_format format = log_format::KeyValue;
        std::string process = {}; ///< Name of this process, included in each line.
        sink output = {}; ///< Standard error when empty.
        leveled_sink leveledOutput = {}; ///< Used instead of `output` if set.
        observer onEvent = {}; ///< Called for every event, including those below the minimum.
    };

    event_log()
        : event_log(options {})
    {
    }

    explicit event_log(options opts)
        : m_options(std::move(opts))
    {
    }

    /// Logs \a event with \a fields unless its level is below the minimum.
    void write(const event_definition& event, std::initializer_list<event_field> fields = {}) const;

private:
    options m_options;
};

} // namespace marigold::base
