#include "transfer_window.h"

#include <algorithm>

namespace marigold::relay {

transfer_window::transfer_window(options opts)
    : m_options(opts)
    , m_size(opts.initialSize)
{
}

void transfer_window::transferFinished(base::duration excess, base::time_point now)
{
    --m_inFlight;
    const bool delayed = excess > m_options.toleratedDelay;
    m_recentDelayed[m_next++ % historySize] = delayed;
    if (!delayed)
        m_size = std::min(m_options.maxSize, m_size + 1 / m_size);
    const auto count = static_cast<std::size_t>(std::ranges::count(m_recentDelayed, true));
    if (count < m_options.delayedToShrink || now - m_shrunkAt < m_options.shrinkInterval)
        return;
    m_shrunkAt = now;
    m_size = std::max(m_options.minSize, m_size / 2);
}

} // namespace marigold::relay
