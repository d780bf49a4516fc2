#include "target_standing.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::relay {

target_standing::target_standing(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(opts)
{
}

std::string target_standing::keyOf(const target_registration& target)
{
    if (target.startedAtMs != 0)
        return fmt::format("{}/{}", target.id, target.startedAtMs);
    return fmt::format("{}@{}", target.id, target.address.text());
}

const target_standing::record* target_standing::find(const target_registration& target) const
{
    if (m_records.empty())
        return nullptr;
    const auto found = m_records.find(keyOf(target));
    return found == m_records.end() ? nullptr : &found->second;
}

target_standing::record& target_standing::recordFor(const target_registration& target)
{
    record& found = m_records[keyOf(target)];
    found.keptSince = m_clock.now();
    return found;
}

bool target_standing::announceLeaving(const target_registration& target)
{
    return !std::exchange(recordFor(target).leaving, true);
}

bool target_standing::isLeaving(const target_registration& target) const
{
    const record* known = find(target);
    return known && known->leaving;
}

bool target_standing::requestPause(const target_registration& target, base::duration pause)
{
    record& known = recordFor(target);
    const base::time_point now = m_clock.now();
    const bool isNew = known.pausedUntil <= now;
    known.pausedUntil = std::max(known.pausedUntil, now + std::min(pause, m_options.longestPause));
    return isNew;
}

base::time_point target_standing::pausedUntil(const target_registration& target) const
{
    const record* known = find(target);
    return known ? known->pausedUntil : base::time_point {};
}

void target_standing::confirmRegistered(const target_registration& target)
{
    if (target.startedAtMs != 0 && find(target))
        recordFor(target);
}

void target_standing::removeExpired()
{
    const base::time_point limit = m_clock.now() - m_options.memory;
    std::erase_if(m_records, [limit](const auto& entry) { return entry.second.keptSince < limit; });
}

} // namespace marigold::relay
