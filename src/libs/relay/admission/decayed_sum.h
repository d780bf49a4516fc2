#pragma once

#include <base/clock.h>

#include <chrono>
#include <cmath>

namespace marigold::relay {

/// Sum of amounts that decays exponentially with their age. With a window of T, a constant rate r sums up to
/// r * T.
class decayed_sum {
public:
    explicit decayed_sum(base::duration window)
        : m_windowSeconds(std::chrono::duration<double>(window).count())
    {
    }

    void add(double amount, base::time_point now)
    {
        m_value = value(now) + amount;
        m_at = now;
    }

    double value(base::time_point now) const
    {
        const double age = std::chrono::duration<double>(now - m_at).count();
        return age <= 0 ? m_value : m_value * std::exp(-age / m_windowSeconds);
    }

private:
    double m_windowSeconds;
    double m_value = 0;
    base::time_point m_at {};
};

} // namespace marigold::relay
