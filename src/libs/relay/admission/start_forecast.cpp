#include "start_forecast.h"

#include <base/digest.h>

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Weight of a new sample in the mean cost of a request.
constexpr double smoothingFactor = 0.1;

/// Longest time between two updates that counts: after a pause of the process nothing is known about it.
constexpr base::duration longestUpdate = std::chrono::milliseconds(100);

double secondsOf(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

base::duration waitOf(double milliseconds, double drain)
{
    constexpr double longestSeconds = 3600;
    const double seconds = drain > 0 ? milliseconds / drain : longestSeconds;
    return base::duration(static_cast<std::int64_t>(std::min(seconds, longestSeconds) * 1e6));
}

} // namespace

start_forecast::start_forecast(options opts)
    : m_options(opts)
{
}

start_forecast::class_id start_forecast::classOf(std::string_view service, int urgency)
{
    auto known = m_ids.find(service);
    if (known == m_ids.end())
        known = m_ids.emplace(std::string(service), std::map<int, class_id> {}).first;
    const auto found = known->second.find(urgency);
    if (found != known->second.end())
        return found->second;
    const auto id = static_cast<class_id>(base::hash64(fmt::format("{}\n{}", service, urgency)));
    known->second.emplace(urgency, id);
    m_classes.try_emplace(id,
        class_state { .service = std::string(service),
            .urgency = urgency,
            .started = decayed_sum(m_options.window),
            .arrived = decayed_sum(m_options.window),
            .queuedSeconds = decayed_sum(m_options.window) });
    m_starts.try_emplace(std::string(service), m_options.window);
    return id;
}

start_forecast::class_state* start_forecast::find(class_id id)
{
    const auto found = m_classes.find(id);
    return found == m_classes.end() ? nullptr : &found->second;
}

const start_forecast::class_state* start_forecast::find(class_id id) const
{
    const auto found = m_classes.find(id);
    return found == m_classes.end() ? nullptr : &found->second;
}

void start_forecast::requestArrived(class_id id, double cost, base::time_point now)
{
    if (class_state* state = find(id); state && state->queued > 0)
        state->arrived.add(cost, now);
}

void start_forecast::requestStarted(class_id id, double cost, base::time_point now)
{
    class_state* state = find(id);
    if (!state)
        return;
    m_starts.find(state->service)->second.add(1, now);
    state->meanCost += (state->meanCost == 0 ? 1.0 : smoothingFactor) * (cost - state->meanCost);
    if (state->queued > 0)
        state->started.add(cost, now);
}

void start_forecast::setQueued(const std::unordered_map<class_id, double>& queued, base::time_point now)
{
    for (auto& [id, state] : m_classes) {
        if (state.queued > 0)
            state.queuedSeconds.add(secondsOf(std::min(now - state.updatedAt, longestUpdate)), now);
        const auto found = queued.find(id);
        state.queued = found == queued.end() ? 0 : found->second;
        state.updatedAt = now;
    }
    std::erase_if(m_peers, [&](const auto& entry) { return now - entry.second.at > m_options.peerTimeout; });
}

void start_forecast::setPeer(
    std::string_view process, const std::vector<class_load>& loads, base::time_point now)
{
    m_peers[std::string(process)] = { .at = now, .loads = loads };
}

bool start_forecast::isKnown(const class_state& state, base::duration minimum, base::time_point now) const
{
    return state.queuedSeconds.value(now) >= secondsOf(minimum)
        && m_starts.find(state.service)->second.value(now) >= m_options.minStarts;
}

double start_forecast::drainOf(const class_state& state, base::time_point now) const
{
    const double started = state.started.value(now) + m_options.addedStarts * state.meanCost;
    return started / std::max(state.queuedSeconds.value(now), secondsOf(m_options.minQueued));
}

std::optional<base::duration> start_forecast::waitInTurn(
    class_id id, double ahead, base::time_point now) const
{
    const class_state* state = find(id);
    if (!state || !isKnown(*state, m_options.minQueued, now))
        return {};
    const double ownDrain = drainOf(*state, now);
    double allAhead = ahead;
    double allDrain = ownDrain;
    for (const auto& [process, peer] : m_peers) {
        if (now - peer.at > m_options.peerTimeout)
            continue;
        const auto found = std::ranges::find(peer.loads, id, &class_load::id);
        if (found == peer.loads.end())
            continue;
        allAhead += std::min(found->queued, ahead);
        allDrain += found->drain;
    }
    return std::min(waitOf(ahead, ownDrain), waitOf(allAhead, allDrain));
}

std::optional<base::duration> start_forecast::waitForLeftover(
    class_id id, double queued, base::time_point now) const
{
    const class_state* state = find(id);
    if (!state || !isKnown(*state, m_options.minOverload, now))
        return {};
    const double arrivals = state->arrived.value(now) / state->queuedSeconds.value(now);
    const double leftover = drainOf(*state, now) - arrivals;
    return leftover > 0 ? waitOf(queued, leftover) : base::duration::max();
}

double start_forecast::drain(class_id id, base::time_point now) const
{
    const class_state* state = find(id);
    return state && isKnown(*state, m_options.minQueued, now) ? drainOf(*state, now) : 0;
}

std::vector<start_forecast::class_load> start_forecast::shortClasses(base::time_point now) const
{
    std::vector<class_load> loads;
    for (const auto& [id, state] : m_classes)
        if (state.queued > 0 || state.queuedSeconds.value(now) >= secondsOf(m_options.minQueued))
            loads.push_back({ .id = id, .queued = state.queued, .drain = drain(id, now) });
    std::ranges::sort(loads, std::greater<> {}, &class_load::queued);
    return loads;
}

std::string start_forecast::nameOf(class_id id) const
{
    const class_state* state = find(id);
    return state ? fmt::format("service={} urgency={}", state->service, state->urgency) : std::string();
}

bool start_forecast::isShort(std::string_view service, base::time_point now) const
{
    return std::ranges::any_of(m_classes, [&](const auto& entry) {
        const class_state& state = entry.second;
        return state.service == service
            && (state.queued > 0 || state.queuedSeconds.value(now) >= secondsOf(m_options.minQueued));
    });
}

} // namespace marigold::relay
