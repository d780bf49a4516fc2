#include "update_queue.h"

#include <algorithm>
#include <cmath>

namespace marigold::control {

namespace {

/// Times that a process sends a state change: this factor times log10 of the domain's size, rounded up.
constexpr unsigned urgentFactor = 4;

/// Additional sends of a state change. A member misses a record that each other member sends k times with a
/// probability of about e^-k. In 20 domains of 8 members, 4 sends are not enough: a removal reaches all
/// members only by synchronisation, after 26.8 s. With 8 sends, it takes 8.6 s (bench/membership).
constexpr unsigned urgentExtra = 4;
constexpr unsigned loadFactor = 2;

/// In a large fleet, load changes would fill every message; this bounds the traffic of each process.
constexpr std::size_t loadsPerMessage = 2;

/// Above this number, the oldest load changes are dropped, since they are stale.
constexpr std::size_t maxItems = 256;

unsigned sendsFor(bool urgent, std::size_t members)
{
    const auto digits = static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(members) + 1)));
    const unsigned scale = std::max(1U, digits);
    return urgent ? urgentFactor * scale + urgentExtra : loadFactor * scale;
}

} // namespace

void update_queue::push(const std::string& id, bool urgent)
{
    const auto found
        = std::find_if(m_items.begin(), m_items.end(), [&](const item& known) { return known.id == id; });
    if (found != m_items.end()) {
        found->urgent = found->urgent || urgent;
        found->sent = 0;
        found->order = ++m_order;
        return;
    }
    m_items.push_back({ .id = id, .urgent = urgent, .sent = 0, .order = ++m_order });
    if (m_items.size() <= maxItems)
        return;
    const auto oldest = std::min_element(m_items.begin(), m_items.end(),
        [](const item& a, const item& b) { return a.urgent != b.urgent ? b.urgent : a.order < b.order; });
    if (!oldest->urgent)
        m_items.erase(oldest);
}

std::vector<std::string> update_queue::take(std::size_t maxCount, std::size_t members)
{
    std::sort(m_items.begin(), m_items.end(), [](const item& a, const item& b) {
        if (a.urgent != b.urgent)
            return a.urgent;
        return a.sent != b.sent ? a.sent < b.sent : a.order > b.order;
    });
    std::vector<std::string> out;
    std::size_t loads = 0;
    for (auto& entry : m_items) {
        if (out.size() >= maxCount || (!entry.urgent && loads >= loadsPerMessage))
            break;
        loads += entry.urgent ? 0 : 1;
        ++entry.sent;
        out.push_back(entry.id);
    }
    std::erase_if(m_items, [&](const item& entry) { return entry.sent >= sendsFor(entry.urgent, members); });
    return out;
}

} // namespace marigold::control
