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
    if (excess <= m_options.tolerated) {
        m_size = std::min(m_options.most, m_size + 1 / m_size);
        return;
    }
    if (now - m_shrunkAt < m_options.settle)
        return;
    m_shrunkAt = now;
    m_size = std::max(m_options.least, m_size / 2);
}

} // namespace marigold::relay
