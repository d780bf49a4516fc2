#include "retry_budget.h"

#include <algorithm>

namespace marigold::routing {

retry_budget::retry_budget(options opts)
    : m_options(opts)
    , m_balance(unit * std::min(opts.initial, opts.capacity))
{
}

void retry_budget::setCapacity(int capacity)
{
    m_options.capacity = capacity;
    m_balance = std::min(m_balance, unit * capacity);
}

void retry_budget::addRequest()
{
    m_balance = std::min(m_balance + m_options.percent, unit * m_options.capacity);
}

bool retry_budget::tryRetry()
{
    if (m_balance < unit)
        return false;
    m_balance -= unit;
    return true;
}

bool retry_budget::tryHedge(bool idempotent)
{
    if (!idempotent || m_balance < unit * (1 + m_options.reservedForRetries))
        return false;
    m_balance -= unit;
    return true;
}

} // namespace marigold::routing
