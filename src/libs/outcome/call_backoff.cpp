#include "call_backoff.h"

#include <algorithm>

namespace marigold::outcome {

void call_backoff::failed(base::time_point now)
{
    if (!allowsCall(now))
        return;
    constexpr int maxDoublings = 20; // keeps the shift in range; the maximum wait is reached much earlier
    const base::duration doubled = m_options.first * (1LL << std::min(m_failures, maxDoublings));
    const base::duration wait = std::min(m_options.longest, doubled);
    ++m_failures;
    const auto half = static_cast<std::uint64_t>(wait.count() / 2);
    m_nextCallAt = now + wait / 2 + base::duration(m_random.below(half + 1));
}

void call_backoff::succeeded()
{
    m_failures = 0;
    m_nextCallAt = base::time_point::min();
}

} // namespace marigold::outcome
