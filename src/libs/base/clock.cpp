#include "clock.h"

namespace marigold::base {

time_point system_clock::now() const
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

void manual_clock::advance(duration step)
{
    m_now += step;
    m_wall += step;
}

} // namespace marigold::base
