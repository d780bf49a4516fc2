#include "router.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace marigold::routing {

namespace {

constexpr std::uint16_t bit(route_reason reason)
{
    return static_cast<std::uint16_t>(reason);
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood 2014); mixes a prefix key with the hash of a target.
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::string_view nameOf(routing_policy policy)
{
    constexpr std::array<std::string_view, 3> names { "prompt", "idempotent_call", "home_call" };
    return names[static_cast<std::size_t>(policy)];
}

/// Candidates under construction.
struct router::candidate_pool {
    static constexpr std::size_t capacity = 48;

    const route_request& request;
    std::array<candidate, capacity> items {};
    std::size_t count = 0;

    bool isFull() const { return count == capacity; }
    std::span<candidate> all() { return { items.data(), count }; }
};

router::router(const target_table& table, base::random_source& random, options opts, outlier_detector* probes)
    : m_table(table)
    , m_random(random)
    , m_options(opts)
    , m_probes(probes)
{
}

bool router::isUsable(target_index target, const route_request& request) const
{
    if (target >= m_table.size() || !m_table.isEligible(target))
        return false;
    if (!request.version.empty() && m_table.info(target).version != request.version)
        return false;
    return std::ranges::find(request.triedTargets, target) == request.triedTargets.end();
}

void router::add(candidate_pool& pool, target_index target, std::uint16_t reasons) const
{
    for (candidate& known : pool.all()) {
        if (known.target == target) {
            known.reasons |= reasons;
            return;
        }
    }
    if (pool.isFull() || !isUsable(target, pool.request))
        return;
    if (m_table.isSameDomain(target))
        reasons |= bit(route_reason::SameDomain);
    if (!m_table.isSameRegion(target))
        reasons |= bit(route_reason::OtherRegion);
    if (m_table.isLastResort(target))
        reasons |= bit(route_reason::LastResort);
    pool.items[pool.count++] = { .target = target, .reasons = reasons };
}

void router::addHomes(candidate_pool& pool, const target_group& group) const
{
    // For most targets only the hash is compared; the checks run only for a target with a high enough score.
    struct scored_target {
        std::uint64_t score = 0;
        target_index index = noTarget;
    };
    scored_target first;
    scored_target second;
    for (const auto* members : { &group.sameDomain, &group.sameRegion }) {
        for (const target_group::member& m : *members) {
            const std::uint64_t score = mix64(m.seed ^ pool.request.prefixKey);
            if (score <= second.score || !isUsable(m.index, pool.request))
                continue;
            second = { .score = score, .index = m.index };
            if (second.score > first.score)
                std::swap(first, second);
        }
    }
    if (first.index != noTarget)
        add(pool, first.index, bit(route_reason::PrefixHome));
    if (second.index != noTarget)
        add(pool, second.index, bit(route_reason::SecondHome));
}

void router::addSamples(candidate_pool& pool, std::span<const target_group::member> members,
    std::size_t wanted, std::uint16_t reasons)
{
    if (members.empty())
        return;
    // Four draws per wanted target find a usable one even if most targets of the group are excluded.
    const std::size_t before = pool.count;
    for (std::size_t draws = 4 * wanted; draws > 0 && pool.count < before + wanted; --draws)
        add(pool, members[m_random.below(members.size())].index, reasons);
}

void router::addFallbacks(candidate_pool& pool, const target_group& group)
{
    const auto reasons = bit(route_reason::Fallback);
    const auto wanted
        = [&] { return pool.count < m_options.candidates ? m_options.candidates - pool.count : 0; };
    addSamples(pool, group.sameDomain, wanted(), reasons);
    addSamples(pool, group.sameRegion, wanted(), reasons);
    // A scan from a random position finds usable targets that sampling missed.
    for (const auto* members : { &group.sameDomain, &group.sameRegion, &group.otherRegions }) {
        const std::size_t start = m_random.below(members->size());
        for (std::size_t i = 0; i < members->size() && wanted() > 0; ++i)
            add(pool, (*members)[(start + i) % members->size()].index, reasons);
    }
}

void router::addProbe(candidate_pool& pool, base::time_point now)
{
    // A probe is still subject to operator decisions, the version and earlier refusals. A target that may get
    // none for a while must not keep the others from theirs.
    const target_index target
        = m_probes->dueProbe(now, [this](target_index ejected) { return m_table.isEjected(ejected); });
    if (target == noTarget || pool.isFull() || !m_table.isSameRegion(target))
        return;
    const target_info& info = m_table.info(target);
    const route_request& request = pool.request;
    if (info.kind != request.kind || info.model != request.model
        || (!request.version.empty() && info.version != request.version)
        || std::ranges::find(request.triedTargets, target) != request.triedTargets.end())
        return;
    m_probes->beginProbe(target, now);
    pool.items[pool.count++] = { .target = target, .reasons = bit(route_reason::Probe) };
}

int router::expectedCachedTokens(
    const route_request& request, const candidate& item, const load_estimate& load) const
{
    // Context that was idle for longer than the lifetime of context in the engine has been evicted.
    const auto mayHold = [&](base::duration idle) {
        return load.contextLifetime == base::duration::zero() || idle <= load.contextLifetime;
    };
    int tokens = 0;
    for (const prefix_hint& hint : request.hints)
        if (hint.target == item.target && mayHold(hint.age))
            tokens = std::max(tokens, hint.tokens);
    const bool used = request.idleTime > base::duration::zero();
    if (tokens == 0 && used && item.has(route_reason::PrefixHome) && mayHold(request.idleTime))
        tokens = static_cast<int>(m_options.homeHitShare * request.size.prefixTokens);
    return tokens;
}

void router::scoreCandidates(candidate_pool& pool, base::time_point now) const
{
    const route_request& request = pool.request;
    const double preference = std::chrono::duration<double>(m_options.domainPreference).count();
    for (candidate& item : pool.all()) {
        const load_estimate load = m_table.estimate(item.target, now);
        context_offer offer { .storedTokens = request.storedContext.tokens,
            .transferTime = request.storedContext.transferTime };
        offer.engineTokens = expectedCachedTokens(request, item, load);
        item.cost = cost_model::estimate(request.goal, request.size, load, offer);
        if (request.policy != routing_policy::Prompt)
            item.cost.score = static_cast<double>(load.outstanding) / load.slots
                    * std::max(load.serviceSeconds, 0.001) // ranks by load if no service time was reported
                + load.slowdownSeconds;
        if (!item.has(route_reason::SameDomain))
            item.cost.score += preference;
        if (item.has(route_reason::PrefixHome))
            item.cost.score
                -= m_options.homePreference * request.size.promptTokens / cost_model::prefillSpeed(load);
    }
}

route_decision router::route(const route_request& request, base::time_point now)
{
    candidate_pool pool { .request = request };
    if (request.policy == routing_policy::HomeCall) {
        if (request.home != noTarget)
            add(pool, request.home, bit(route_reason::Home));
    } else if (const target_group* group = m_table.group(request.kind, request.model)) {
        if (m_probes)
            addProbe(pool, now);
        const std::size_t hints = std::min(request.hints.size(), m_options.candidates);
        for (const prefix_hint& hint : request.hints.first(hints))
            add(pool, hint.target, bit(route_reason::PrefixHint));
        if (request.policy == routing_policy::Prompt && request.prefixKey != 0)
            addHomes(pool, *group);
        addSamples(pool, group->sameDomain, m_options.samples, bit(route_reason::Sampled));
        addSamples(pool, group->sameRegion, m_options.samples, bit(route_reason::Sampled));
        addFallbacks(pool, *group);
    }
    scoreCandidates(pool, now);
    const auto rank = [](const candidate& item) {
        if (item.has(route_reason::Probe))
            return 0;
        if (item.has(route_reason::LastResort))
            return 4;
        if (item.has(route_reason::OtherRegion))
            return 3;
        return item.reasons == bit(route_reason::Fallback)
                || item.reasons == (bit(route_reason::Fallback) | bit(route_reason::SameDomain))
            ? 2
            : 1;
    };
    // Insertion sort preserves the random order of equal candidates and, unlike std::stable_sort, allocates
    // no heap memory.
    const auto precedes = [&](const candidate& a, const candidate& b) {
        return std::pair(rank(a), a.cost.score) < std::pair(rank(b), b.cost.score);
    };
    const auto items = pool.all();
    for (auto next = items.begin(); next != items.end(); ++next)
        std::rotate(std::upper_bound(items.begin(), next, *next, precedes), next, next + 1);
    if (request.equalScoreShare > 0 && !items.empty() && rank(items.front()) == 1) {
        const auto end = std::ranges::find_if(items, [&](const candidate& item) { return rank(item) != 1; });
        preferSmallestBacklog({ items.begin(), end }, request.equalScoreShare, now);
    }
    route_decision out;
    out.m_count = std::min({ pool.count, m_options.candidates, route_decision::capacity });
    std::copy_n(pool.items.begin(), out.m_count, out.m_items.begin());
    setWaitLimits({ out.m_items.data(), out.m_count });
    return out;
}

void router::preferSmallestBacklog(std::span<candidate> items, double equalScoreShare, base::time_point now)
{
    const cost_estimate& best = items.front().cost;
    const double limit = best.score + equalScoreShare * (best.firstTokenSeconds - best.waitSeconds);
    const auto count = static_cast<std::size_t>(std::ranges::find_if(items, [&](const candidate& item) {
        return item.cost.score > limit;
    }) - items.begin());
    // The prefix home goes before others without a backlog, so that its context is used. Ties are broken from
    // a random position: entries with the same reports must not choose the same target.
    const auto loadOf = [&](std::size_t i) {
        const load_estimate load = m_table.estimate(items[i].target, now);
        return std::tuple(
            load.pendingPrefillTokens, !items[i].has(route_reason::PrefixHome), load.outstanding);
    };
    const std::size_t start = m_random.below(count);
    std::size_t chosen = start;
    for (std::size_t i = 1; i < count; ++i)
        if (const std::size_t next = (start + i) % count; loadOf(next) < loadOf(chosen))
            chosen = next;
    const auto first = items.begin();
    const auto position = static_cast<std::ptrdiff_t>(chosen);
    std::rotate(first, first + position, first + position + 1);
}

void router::setWaitLimits(std::span<candidate> items) const
{
    const double refusalMargin = std::chrono::duration<double>(m_options.refusalMargin).count();
    for (std::size_t i = 0; i + 1 < items.size(); ++i) {
        const double spare = std::max(items[i + 1].cost.score - items[i].cost.score, 0.0);
        items[i].waitLimit = base::duration(
            static_cast<std::int64_t>((items[i].cost.beginSeconds + spare + refusalMargin) * 1e6));
    }
}

std::string router::explain(const candidate& item) const
{
    constexpr std::array<std::string_view, 10> names { "prefix_hint", "prefix_home", "sampled", "fallback",
        "same_domain", "other_region", "last_resort", "probe", "home", "second_home" };
    std::string reasons;
    for (std::size_t i = 0; i < names.size(); ++i)
        if (item.reasons & (1U << i))
            reasons += fmt::format("{}{}", reasons.empty() ? "" : ",", names[i]);
    return fmt::format("target={} reasons={} action={} wait_ms={:.1f} first_token_ms={:.1f} "
                       "recomputed_tokens={} score={:.4f}",
        m_table.info(item.target).id, reasons, nameOf(item.cost.action), item.cost.waitSeconds * 1e3,
        item.cost.firstTokenSeconds * 1e3, item.cost.recomputedTokens, item.cost.score);
}

} // namespace marigold::routing
