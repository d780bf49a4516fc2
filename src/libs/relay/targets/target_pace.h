#pragma once

#include <base/base.h>

namespace marigold::relay {

/// Pace of a target's machine as reported with answers, smoothed over about the duration of a request.
///
/// A report counts for the time since the previous one: a request is slowed by the mean over its run, and the
/// value of one moment says little about the next ones. Without new reports the pace returns to usual.
class target_pace {
public:
    struct options {
        base::duration smoothing = std::chrono::milliseconds(250);
        base::duration lifetime = std::chrono::seconds(1); ///< Older reports count as usual.
        /// Bounds of the factor, so that a false report neither attracts nor repels all requests.
        double fastest = 0.5;
        double slowest = 8;
    };

    target_pace() = default;
    explicit target_pace(const options& opts)
        : m_options(opts)
    {
    }

    /// Records that work took \a percent of the usual time at \a at. Ignored if a later report is known.
    void report(int percent, base::time_point at);

    /// Returns how long work takes at \a now, as a multiple of the usual time: 1 if nothing is known.
    double factor(base::time_point now) const;

    /// Returns whether a report counts at \a now.
    bool isKnown(base::time_point now) const { return m_reported && now - m_lastAt < m_options.lifetime; }

private:
    /// Returns the smoothed speed, relative to the usual one, at \a now.
    double speed(base::time_point now) const;

    options m_options;
    double m_speed = 1; ///< At the last report, relative to the usual speed.
    base::time_point m_lastAt {};
    bool m_reported = false;
};

} // namespace marigold::relay
