#include "admission_control.h"

#include <routing/routing.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

double secondsOf(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

bool isLate(const waiting_request& request, base::time_point now)
{
    return request.dispatchDeadline() < now;
}

/// Reason of an early refusal in answers, logs and metrics.
constexpr std::string_view expectedLate = "expected_late";

} // namespace

admission_control::admission_control(const base::clock& time, base::random_source& random, options opts)
    : m_clock(time)
    , m_options(opts)
    , m_forecast(opts.forecast)
    , m_usage(opts.usage)
    , m_returns(random, opts.returns)
    , m_sections(opts.sections)
{
}

start_forecast::class_id admission_control::classOf(const waiting_request& request)
{
    return m_forecast.classOf(request.service(), request.urgency());
}

void admission_control::requestArrived(const waiting_request& request)
{
    m_forecast.requestArrived(classOf(request), request.terms().cost, m_clock.now());
}

void admission_control::requestStarted(const waiting_request& request)
{
    const base::time_point now = m_clock.now();
    const admission_terms terms = request.terms();
    m_forecast.requestStarted(classOf(request), terms.cost, now);
    m_lastStart[classOf(request)] = now;
    m_usage.charge(request.service(), terms.team, terms.weight, terms.cost, now);
    const auto aged = m_ageing.find(request.service());
    if (aged == m_ageing.end())
        return;
    auto& credit = aged->second.credit;
    if (aged->second.first == &request) {
        credit[classOf(request)].value -= terms.cost;
        aged->second.first = nullptr;
        return;
    }
    for (auto& [id, saved] : credit)
        saved.value += m_options.agedShare * terms.cost / static_cast<double>(credit.size());
}

return_kind admission_control::recognise(std::uint32_t fingerprint) const
{
    return fingerprint == 0 ? return_kind::None : m_returns.recognise(fingerprint, m_clock.now());
}

base::duration admission_control::retryAfter(
    std::uint32_t fingerprint, base::duration usual, base::duration remaining)
{
    const base::duration after = m_returns.spread(usual, remaining);
    if (fingerprint != 0)
        m_returns.promised(fingerprint, after, m_clock.now());
    return after;
}

void admission_control::order(std::vector<waiting_request*>& queued, base::time_point now)
{
    std::vector<queued_request> items;
    items.reserve(queued.size());
    for (waiting_request* request : queued)
        items.push_back({ .request = request,
            .terms = request->terms(),
            .isLate = isLate(*request, now),
            .urgency = request->urgency(),
            .service = request->service() });
    const auto groupOf
        = [](const queued_request& item) { return std::tuple(item.isLate, item.urgency, item.service); };
    std::ranges::stable_sort(items, {}, groupOf);
    for (auto begin = items.begin(); begin != items.end();) {
        const auto end = std::find_if(
            begin, items.end(), [&](const auto& item) { return groupOf(item) != groupOf(*begin); });
        orderGroup({ begin, end }, now);
        begin = end;
    }
    promoteAged(items, now);
    std::ranges::transform(items, queued.begin(), &queued_request::request);
}

void admission_control::orderGroup(std::span<queued_request> group, base::time_point now) const
{
    if (group.size() < 2)
        return;
    std::ranges::stable_sort(group, {}, [](const auto& item) { return item.request->arrivedAt(); });
    struct team_state {
        double weight = 1;
        double used = 0;
        std::map<std::string_view, int> keys; ///< Requests that were ordered so far, by key.
    };
    std::map<std::string_view, team_state> teams;
    for (const queued_request& item : group)
        teams[item.terms.team].weight = item.terms.weight;
    double used = 0;
    double weight = 0;
    for (auto& [name, team] : teams) {
        team.used = team.weight * m_usage.usedByWeight(group.front().service, name, team.weight, now);
        used += team.used;
        weight += team.weight;
    }
    const auto goesFirst = [&](const queued_request& item) {
        const team_state& team = teams[item.terms.team];
        return item.terms.returned == return_kind::OnTime
            && team.used * weight <= m_options.overShare * used * team.weight;
    };
    const auto firstOfRest = std::stable_partition(group.begin(), group.end(), goesFirst);
    const std::span<queued_request> rest(firstOfRest, group.end());
    for (auto item = group.begin(); item != firstOfRest; ++item)
        teams[item->terms.team].used += item->terms.cost;
    // Within a team, each key has its turn: a key that floods waits for itself.
    struct place {
        return_kind kind;
        int round;
        std::size_t index;
    };
    std::vector<place> places;
    const std::vector<queued_request> items(rest.begin(), rest.end());
    for (std::size_t i = 0; i < items.size(); ++i)
        places.push_back({ .kind = items[i].terms.returned,
            .round = teams[items[i].terms.team].keys[items[i].terms.key]++,
            .index = i });
    std::ranges::sort(
        places, {}, [](const place& item) { return std::tuple(item.kind, item.round, item.index); });
    routing::fair_queue fair({ .capacity = items.size(), .teamCapacity = items.size(), .burst = 0 });
    for (const auto& [name, team] : teams) {
        fair.setWeight(name, team.weight);
        fair.charge(name, team.used);
    }
    for (const place& item : places)
        static_cast<void>(fair.push(
            items[item.index].terms.team, { .id = item.index, .cost = items[item.index].terms.cost }));
    for (queued_request& item : rest)
        item = items[fair.pop(now)->id];
}

bool admission_control::isAged(const queued_request& item, base::time_point now) const
{
    const base::time_point arrived = item.request->arrivedAt();
    const base::time_point latest = item.request->dispatchDeadline();
    // A request that was never able to meet its goal ages towards the end of its wait.
    const bool wasInTime = latest > arrived;
    const base::duration whole = (wasInTime ? latest : item.request->waitDeadline()) - arrived;
    return secondsOf(now - arrived) >= m_options.agedAfter * secondsOf(whole) && (!item.isLate || !wasInTime);
}

void admission_control::promoteAged(std::vector<queued_request>& queued, base::time_point now)
{
    // Each class has its own credit: an expensive class would never save enough beside a cheap one. The class
    // that has not been served for the longest time goes first, since urgent requests of a long queue are
    // old as well.
    std::map<std::string_view, std::unordered_map<start_forecast::class_id, double>> largest;
    for (const queued_request& item : queued) {
        double& cost = largest[item.service][classOf(*item.request)];
        cost = std::max(cost, item.terms.cost);
    }
    for (auto& [service, state] : m_ageing)
        std::erase_if(state.credit,
            [&](const auto& entry) { return now - entry.second.queuedAt > m_options.creditKept; });
    for (const auto& [service, costs] : largest)
        for (const auto& [id, cost] : costs) {
            auto& credit = m_ageing[std::string(service)].credit[id];
            credit = { .value = std::min(credit.value, 2 * cost), .queuedAt = now };
        }
    const auto rank = [this](const queued_request& item) {
        return std::pair(m_lastStart[classOf(*item.request)], item.request->arrivedAt());
    };
    std::map<std::string_view, const queued_request*> oldest;
    for (const queued_request& item : queued) {
        if (!isAged(item, now)
            || m_ageing[std::string(item.service)].credit[classOf(*item.request)].value < item.terms.cost)
            continue;
        const queued_request*& first = oldest[item.service];
        if (!first || rank(item) < rank(*first))
            first = &item;
    }
    for (auto& [service, state] : m_ageing)
        if (!oldest.contains(service))
            state.first = nullptr;
    std::vector<const waiting_request*> promoted;
    for (const auto& [service, item] : oldest) {
        ageing& state = m_ageing[std::string(service)];
        if (std::exchange(state.first, item->request) != item->request)
            state.firstSince = now;
        promoted.push_back(item->request);
    }
    std::stable_partition(queued.begin(), queued.end(), [&](const queued_request& item) {
        return std::ranges::find(promoted, item.request) != promoted.end();
    });
}

bool admission_control::goesBefore(
    const waiting_request& queued, const waiting_request& arriving, base::time_point now) const
{
    // Requests of equal rank are compared by the shares of their teams, which `order` does for all at once.
    return std::pair(isLate(queued, now), queued.urgency())
        <= std::pair(isLate(arriving, now), arriving.urgency());
}

bool admission_control::isHeldFor(const waiting_request& request, base::time_point now) const
{
    const auto aged = m_ageing.find(request.service());
    return aged != m_ageing.end() && aged->second.first == &request
        && now - aged->second.firstSince <= m_options.holdTime;
}

std::optional<base::duration> admission_control::expectedWait(
    const waiting_request& request, const class_queue& ahead, base::time_point now)
{
    const start_forecast::class_id id = classOf(request);
    auto inTurn = m_forecast.waitInTurn(id, ahead.cost, now);
    if (!inTurn)
        return {};
    if (request.terms().returned != return_kind::OnTime) {
        // Returns that are booked go before it and use their share of the drain until the last of them.
        const double share = m_returns.drainShare();
        const double alone = secondsOf(*inTurn);
        const double withReturns
            = std::min(alone / (1 - share), alone + share * secondsOf(m_returns.bookedFor(id, now)));
        inTurn = base::duration(static_cast<std::int64_t>(withReturns * 1e6));
    }
    const double inTurnSeconds = m_options.waitMargin * secondsOf(*inTurn);
    if (!isLate(request, now) && inTurnSeconds <= secondsOf(request.dispatchDeadline() - now))
        return inTurn;
    // It is late or will be, so that all that arrive meanwhile go before it.
    const auto leftover = m_forecast.waitForLeftover(id, ahead.cost, now);
    return leftover ? std::max(*inTurn, *leftover) : *inTurn;
}

std::vector<std::pair<waiting_request*, early_refusal>> admission_control::review(
    std::span<waiting_request* const> remaining, base::time_point now)
{
    std::vector<std::pair<waiting_request*, early_refusal>> refusals;
    std::unordered_map<start_forecast::class_id, class_queue> kept;
    // The oldest of a class that is in time may still be reached by ageing, which the forecast leaves out.
    std::unordered_map<start_forecast::class_id, const waiting_request*> oldest;
    for (const waiting_request* request : remaining) {
        if (isLate(*request, now))
            continue;
        const waiting_request*& first = oldest[classOf(*request)];
        if (!first || request->arrivedAt() < first->arrivedAt())
            first = request;
    }
    for (waiting_request* request : remaining) {
        const admission_terms terms = request->terms();
        const start_forecast::class_id id = classOf(*request);
        class_queue& ahead = kept[id];
        const auto wait = terms.mayRefuse && !isHeldFor(*request, now) && oldest[id] != request
            ? expectedWait(*request, ahead, now)
            : std::optional<base::duration>();
        if (wait && m_options.waitMargin * secondsOf(*wait) > secondsOf(request->waitDeadline() - now)) {
            refusals.emplace_back(request,
                early_refusal { .reason = expectedLate,
                    .position = ahead.requests,
                    .ahead = ahead.cost,
                    .drain = m_forecast.drain(id, now),
                    .expectedWait = *wait });
            continue;
        }
        ++ahead.requests;
        ahead.cost += terms.cost;
    }
    m_queued.clear();
    for (const auto& [id, queue] : kept)
        m_queued[id] = queue.cost;
    m_forecast.setQueued(m_queued, now);
    return refusals;
}

void admission_control::refused(const waiting_request& request, early_refusal& refusal, base::time_point now)
{
    const admission_terms terms = request.terms();
    const start_forecast::class_id id = classOf(request);
    const auto queued = m_queued.find(id);
    const auto wait = m_forecast.waitInTurn(id, queued == m_queued.end() ? 0 : queued->second, now);
    refusal.retryAfter = m_returns.book({ .classId = id,
                                            .cost = terms.cost,
                                            .drain = refusal.drain,
                                            .wait = wait.value_or(base::duration::zero()),
                                            .remaining = terms.deadline - now },
        now);
    if (terms.fingerprint != 0)
        m_returns.promised(terms.fingerprint, refusal.retryAfter, now);
}

std::string admission_control::writeSection()
{
    const base::time_point now = m_clock.now();
    std::size_t left = m_sections.available(now);
    if (left == 0)
        return {};
    relay_demand demand;
    const auto take = [&left](auto& list, auto&& from, std::size_t bytes, std::size_t limit) {
        const std::size_t count = std::min({ from.size(), left / bytes, limit });
        list.assign(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count));
        left -= count * bytes;
    };
    // A promise is told once; the other lists are told again and again.
    constexpr std::size_t maxClasses = 4;
    demand.returns = m_returns.takeUntold(left / 2 / bytesPerReturn, now);
    left -= demand.returns.size() * bytesPerReturn;
    take(demand.classes, m_forecast.shortClasses(now), bytesPerClass, maxClasses);
    take(demand.teams,
        m_usage.own(now, [&](std::string_view service) { return m_forecast.isShort(service, now); }),
        bytesPerTeam, left);
    if (demand.empty())
        return {};
    std::string bytes = encode(demand);
    m_sections.sent(bytes.size(), now);
    return bytes;
}

void admission_control::readSection(std::string_view process, std::string_view bytes)
{
    auto demand = decodeDemand(bytes);
    if (!demand)
        return; // The digest port is open to any sender.
    const base::time_point now = m_clock.now();
    m_forecast.setPeer(process, demand->classes, now);
    m_usage.setPeer(process, std::move(demand->teams), now);
    for (const return_schedule::promise& item : demand->returns)
        m_returns.promisedByPeer(item, now);
}

void admission_control::removeExpired()
{
    const base::time_point now = m_clock.now();
    m_usage.removeExpired(now);
    m_returns.removeExpired(now);
}

std::string admission_control::describe() const
{
    const base::time_point now = m_clock.now();
    std::string text;
    for (const start_forecast::class_load& item : m_forecast.shortClasses(now))
        text += fmt::format("queue {} queued_ms={:.0f} drain_ms_per_s={:.0f}\n", m_forecast.nameOf(item.id),
            item.queued, item.drain);
    std::map<std::string, double> totals;
    const std::vector<team_usage::share> shares = m_usage.shares(now);
    for (const team_usage::share& item : shares)
        totals[item.service] += item.all;
    for (const team_usage::share& item : shares)
        text += fmt::format("team={} service={} weight={} used_here_ms={:.1f} used_ms={:.1f} share={:.3f}\n",
            item.team, item.service, item.weight, item.own, item.all,
            item.all / std::max(totals[item.service], 1e-9));
    text += fmt::format("promised_returns={}\n", m_returns.size());
    return text;
}

} // namespace marigold::relay
