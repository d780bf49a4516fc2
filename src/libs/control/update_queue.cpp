#include "update_queue.h"

#include <algorithm>
#include <cmath>

namespace marigold::control {

namespace {

/// Times that one process sends a record: this factor times log10 of the domain's size, rounded up.
constexpr unsigned urgentFactor = 4;

/// Added for changes of state: a member misses what each other sends k times with a probability of about
/// e^-k. With 4 sends, a removal reached all of 20 domains of 8 only by synchronisation, after 26.8 s; with 8
/// sends after 8.6 s (bench/membership).
constexpr unsigned urgentExtra = 4;
constexpr unsigned loadFactor = 2;

/// Loads fill every message of a large fleet, so that this bounds the traffic of each process.
constexpr std::size_t loadsPerMessage = 2;

/// Loads are worthless when they wait long, so that the oldest are dropped above this number.
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

std::vector<std::string> update_queue::take(std::size_t most, std::size_t members)
{
    std::sort(m_items.begin(), m_items.end(), [](const item& a, const item& b) {
        if (a.urgent != b.urgent)
            return a.urgent;
        return a.sent != b.sent ? a.sent < b.sent : a.order > b.order;
    });
    std::vector<std::string> out;
    std::size_t loads = 0;
    for (auto& entry : m_items) {
        if (out.size() >= most || (!entry.urgent && loads >= loadsPerMessage))
            break;
        loads += entry.urgent ? 0 : 1;
        ++entry.sent;
        out.push_back(entry.id);
    }
    std::erase_if(m_items, [&](const item& entry) { return entry.sent >= sendsFor(entry.urgent, members); });
    return out;
}

} // namespace marigold::control
