#pragma once

#include <base/base.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace marigold::operate {

/// Logs refusals, which unauthenticated callers can cause at any rate: at most one line per interval, with
/// the number of refusals since the last line.
class refusal_log {
public:
    /// If \a log is null, refusals are only counted.
    refusal_log(const base::event_log* log, const base::event_definition& event, const base::clock& time,
        base::duration interval = std::chrono::seconds(10))
        : m_log(log)
        , m_event(event)
        , m_clock(time)
        , m_interval(interval)
    {
    }

    /// Counts one refusal; \a detail must not contain a secret.
    void add(std::string_view detail);

    std::uint64_t total() const { return m_total; }

private:
    const base::event_log* m_log;
    const base::event_definition& m_event;
    const base::clock& m_clock;
    base::duration m_interval;
    std::optional<base::time_point> m_lastLineTime;
    std::uint64_t m_total = 0;
    std::uint64_t m_logged = 0;
};

} // namespace marigold::operate
