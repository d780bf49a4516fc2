#include "reuse_estimator.h"

#include <algorithm>
#include <cmath>

namespace marigold::context {

namespace {

constexpr double classesPerDoubling = 2;

// The estimate over all teams enters the estimate of one team with the weight of this many contexts.
constexpr double priorContexts = 20;

// Probability of a return in each age class without any observations. Since classes get longer with age,
// older contexts then have a lower value, as in LRU.
constexpr double priorHazard = 0.05;

// Contexts that have not returned yet are recounted after this many new contexts, or after 1/`recountDivisor`
// of the tracked ones if that is more. With an outdated count, returns would be overestimated.
constexpr std::size_t minimumRecountInterval = 64;
constexpr std::size_t recountDivisor = 16;

double secondsOf(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

reuse_estimator::reuse_estimator(options opts)
    : m_options(opts)
{
    m_options.maximumContexts = std::max<std::size_t>(m_options.maximumContexts, 1);
}

std::size_t reuse_estimator::ageClass(base::duration age)
{
    const double seconds = std::max(secondsOf(age), 1.0);
    return std::min(static_cast<std::size_t>(std::log2(seconds) * classesPerDoubling), ageClasses - 1);
}

double reuse_estimator::classStart(std::size_t index)
{
    return index == 0 ? 0 : std::exp2(static_cast<double>(index) / classesPerDoubling);
}

reuse_estimator::team_table& reuse_estimator::tableOf(team_number team)
{
    const std::size_t index = std::min<std::size_t>(team, m_options.maximumTeams);
    if (index >= m_teams.size())
        m_teams.resize(index + 1);
    return m_teams[index];
}

void reuse_estimator::add(
    const tracked_context& context, by_age<float> team_table::*counts, std::size_t index)
{
    const float weight = weightOf(context);
    for (team_table* table : { &tableOf(context.team), &m_allTeams }) {
        (table->*counts)[index] += weight;
        table->observations += weight;
        table->newObservations += weight;
    }
    if (m_allTeams.observations < m_options.maximumObservations)
        return;
    // The contexts tracked now must also count half, to preserve the ratio of returned and other contexts.
    ++m_halvings;
    halveCounts();
}

float reuse_estimator::weightOf(const tracked_context& context) const
{
    return std::exp2(static_cast<float>(context.halvings) - static_cast<float>(m_halvings));
}

void reuse_estimator::halveCounts()
{
    const auto halve = [](team_table& table) {
        table.observations /= 2;
        for (std::size_t i = 0; i < ageClasses; ++i) {
            table.returned[i] /= 2;
            table.expired[i] /= 2;
            table.pending[i] /= 2;
        }
    };
    halve(m_allTeams);
    std::for_each(m_teams.begin(), m_teams.end(), halve);
}

void reuse_estimator::recordUse(team_number team, std::span<const block_key> chain, base::time_point now)
{
    for (const block_key& key : chain) {
        if (!isSampled(key))
            continue;
        const auto found = m_contexts.find(key.low());
        if (found == m_contexts.end() || found->second.team != team)
            continue;
        add(found->second, &team_table::returned, ageClass(now - found->second.lastUse));
        m_contexts.erase(found);
    }
    if (chain.empty() || !isSampled(chain.back()))
        return;
    m_contexts[chain.back().low()] = { .team = team, .halvings = m_halvings, .lastUse = now };
    const std::size_t interval = std::max(minimumRecountInterval, m_contexts.size() / recountDivisor);
    if (++m_usesSinceRecount >= interval || m_contexts.size() > m_options.maximumContexts)
        recount(now);
    while (m_contexts.size() > m_options.maximumContexts)
        halveSample();
}

void reuse_estimator::recount(base::time_point now)
{
    m_usesSinceRecount = 0;
    m_allTeams.pending = {};
    for (team_table& table : m_teams)
        table.pending = {};
    for (auto it = m_contexts.begin(); it != m_contexts.end();) {
        const base::duration age = now - it->second.lastUse;
        const std::size_t index = ageClass(age);
        if (age < m_options.maximumAge) {
            const float weight = weightOf(it->second);
            tableOf(it->second.team).pending[index] += weight;
            m_allTeams.pending[index] += weight;
            ++it;
            continue;
        }
        add(it->second, &team_table::expired, index);
        it = m_contexts.erase(it);
    }
    m_allTeams.computed = false;
    for (team_table& table : m_teams)
        table.computed = false;
}

void reuse_estimator::halveSample()
{
    // The selection depends on the key alone, so the remaining contexts are an unbiased sample.
    m_sampleMask = m_sampleMask * 2 + 1;
    // Past returns were counted at the previous sampling rate, so their weight is halved relative to the
    // contexts that are still tracked.
    halveCounts();
    std::erase_if(m_contexts, [&](const auto& entry) { return (entry.first & m_sampleMask) != 0; });
}

reuse_estimator::by_age<double> reuse_estimator::hazards(const team_table& table) const
{
    by_age<double> result {};
    by_age<double> prior {};
    if (&table == &m_allTeams) {
        prior.fill(priorHazard);
    } else {
        prior = hazards(m_allTeams);
    }
    const double horizon = secondsOf(m_options.maximumAge);
    double atRisk = 0;
    for (std::size_t i = ageClasses; i > 0; --i) {
        const std::size_t k = i - 1;
        const double censored = table.expired[k] + table.pending[k];
        atRisk += table.returned[k] + censored;
        // Returns beyond the maximum age are never observed, so none is expected. The prior would keep such
        // blocks cached.
        if (classStart(k) >= horizon)
            continue;
        // Contexts censored in a class are at risk for half of it.
        const double exposed = atRisk - censored / 2;
        result[k] = (table.returned[k] + priorContexts * prior[k]) / (exposed + priorContexts);
    }
    return result;
}

void reuse_estimator::compute(team_table& table) const
{
    const by_age<double> hazard = hazards(table);
    for (std::size_t from = 0; from < ageClasses; ++from) {
        double surviving = 1;
        double seconds = 0;
        double best = 0;
        for (std::size_t k = from; k < ageClasses; ++k) {
            seconds += surviving * (1 - hazard[k] / 2) * (classStart(k + 1) - classStart(k));
            surviving *= 1 - hazard[k];
            best = std::max(best, (1 - surviving) / seconds);
        }
        table.density[from] = static_cast<float>(best);
        table.probability[from] = static_cast<float>(1 - surviving);
    }
    table.computed = true;
    table.newObservations = 0;
}

const reuse_estimator::team_table& reuse_estimator::current(team_number team)
{
    team_table& table = tableOf(team);
    // Recomputed only after about 10% more observations (at least two), since fewer change the estimate
    // little.
    if (!table.computed || table.newObservations * 10 > table.observations + 10)
        compute(table);
    return table;
}

double reuse_estimator::returnsPerSecond(team_number team, base::duration age)
{
    return current(team).density[ageClass(age)];
}

double reuse_estimator::returnProbability(team_number team, base::duration age)
{
    return current(team).probability[ageClass(age)];
}

std::size_t reuse_estimator::memoryBytes() const
{
    // A node consists of the entry, a link and the allocator header; each bucket is a pointer.
    constexpr std::size_t nodeBytes = sizeof(std::pair<std::uint64_t, tracked_context>) + 2 * sizeof(void*);
    return m_teams.capacity() * sizeof(team_table) + sizeof *this + m_contexts.size() * nodeBytes
        + m_contexts.bucket_count() * sizeof(void*);
}

} // namespace marigold::context
