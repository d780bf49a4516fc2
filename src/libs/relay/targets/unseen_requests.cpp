#include "unseen_requests.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// A target cannot hold more unknown requests than this; bounds the effect of a false report.
constexpr int maxUnseen = 64;

} // namespace

void unseen_requests::report(int reported, int own, int peers, base::time_point now)
{
    m_others = std::clamp(reported - own, 0, std::max(peers, 0) + maxUnseen);
    m_at = now;
    m_reported = true;
}

int unseen_requests::count(int peers, base::time_point now) const
{
    if (!isKnown(now))
        return 0;
    return std::max(m_others - std::max(peers, 0), 0);
}

} // namespace marigold::relay
