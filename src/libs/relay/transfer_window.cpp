#include "transfer_window.h"

#include <algorithm>

namespace marigold::relay {

transfer_window::transfer_window(options opts)
    : m_options(opts)
    , m_size(opts.initial)
{
}

void transfer_window::ended(base::duration excess, base::time_point now)
{
    --m_underWay;
    const bool delayed = excess > m_options.tolerated;
    m_delayed[m_next++ % latest] = delayed;
    if (!delayed)
        m_size = std::min(m_options.most, m_size + 1 / m_size);
    const auto count = static_cast<std::size_t>(std::ranges::count(m_delayed, true));
    if (count < m_options.delayedOfLatest || now - m_shrunkAt < m_options.settle)
        return;
    m_shrunkAt = now;
    m_size = std::max(m_options.least, m_size / 2);
}

} // namespace marigold::relay
