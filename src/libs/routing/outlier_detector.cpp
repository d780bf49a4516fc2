#include "outlier_detector.h"

#include "events.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace marigold::routing {

namespace {
constexpr double smoothing = 0.2; // weight of the newest sample; averages over about ten samples
constexpr int maxDoublings = 16; // limits the shift of the ejection time
} // namespace

outlier_detector::outlier_detector(options opts)
    : m_options(std::move(opts))
{
}

std::uint32_t outlier_detector::domainOf(std::string_view name)
{
    const auto found = std::ranges::find(m_domains, name, &domain_record::name);
    if (found != m_domains.end())
        return static_cast<std::uint32_t>(found - m_domains.begin());
    m_domains.push_back({ .name = std::string(name), .members = {} });
    return static_cast<std::uint32_t>(m_domains.size() - 1);
}

void outlier_detector::add(target_index target, std::string_view domain)
{
    if (target >= m_records.size())
        m_records.resize(target + 1);
    if (m_records[target].watched)
        return;
    m_records[target] = { .watched = true, .domain = domainOf(domain) };
    m_domains[m_records[target].domain].members.push_back(target);
}

void outlier_detector::remove(target_index target)
{
    if (target >= m_records.size() || !m_records[target].watched)
        return;
    domain_record& domain = m_domains[m_records[target].domain];
    if (m_records[target].ejected)
        reinstate(target);
    std::erase(domain.members, target);
    m_records[target] = {};
    while (domain.ejected > domain.members.size() / 2) {
        const auto earliest = std::ranges::find_if(
            m_ejected, [&](target_index other) { return &m_domains[m_records[other].domain] == &domain; });
        reinstate(*earliest);
    }
}

void outlier_detector::observe(target_index target, bool failed, double latencyRatio, base::time_point now)
{
    if (target >= m_records.size() || !m_records[target].watched)
        return;
    record& entry = m_records[target];
    if (entry.ejected) {
        // Outcomes of requests sent before the ejection are not evidence for or against a return.
        if (entry.probing)
            probeEnded(target, failed || latencyRatio > m_options.latencyFactor, now);
        return;
    }
    ++entry.samples;
    entry.errorsInRow = failed ? entry.errorsInRow + 1 : 0;
    entry.errorShare += smoothing * ((failed ? 1.0 : 0.0) - entry.errorShare);
    if (!failed)
        entry.latencyRatio += smoothing * (latencyRatio - entry.latencyRatio);
    if (isOutlier(entry))
        eject(target, now);
    else if (entry.samples >= 2 * m_options.minimumSamples)
        entry.ejectionsInRow = 0;
}

bool outlier_detector::isOutlier(const record& entry) const
{
    if (entry.errorsInRow >= m_options.consecutiveErrors)
        return true;
    if (entry.samples < m_options.minimumSamples)
        return false;
    if (entry.errorShare > m_options.errorShare)
        return true;
    // The median is computed only for a target that is slow compared with its own expectation.
    return entry.latencyRatio > m_options.latencyFactor
        && entry.latencyRatio > m_options.latencyFactor * medianLatency(m_domains[entry.domain]);
}

double outlier_detector::medianLatency(const domain_record& domain) const
{
    std::vector<double> ratios;
    for (const target_index member : domain.members)
        ratios.push_back(m_records[member].latencyRatio);
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

void outlier_detector::eject(target_index target, base::time_point now)
{
    record& entry = m_records[target];
    domain_record& domain = m_domains[entry.domain];
    if (2 * (domain.ejected + 1) > domain.members.size()) {
        if (m_options.log)
            m_options.log->write(events::ejectionLimited,
                { { "target", std::to_string(target) }, { "failure_domain", domain.name } });
        entry.samples = 0; // the next attempt, and its log line, need new evidence
        entry.errorsInRow = 0;
        return;
    }
    entry.ejected = true;
    entry.ejectedAt = now;
    startEjectionPeriod(entry, now);
    ++domain.ejected;
    m_ejected.push_back(target);
    if (m_options.log)
        m_options.log->write(events::targetEjected,
            { { "target", std::to_string(target) }, { "failure_domain", domain.name },
                { "error_share", fmt::format("{:.2f}", entry.errorShare) },
                { "latency_ratio", fmt::format("{:.1f}", entry.latencyRatio) } });
    if (m_options.changed)
        m_options.changed(target, true);
}

void outlier_detector::startEjectionPeriod(record& entry, base::time_point now) const
{
    const int doublings = std::min(entry.ejectionsInRow++, maxDoublings);
    entry.nextProbe = now + std::min(m_options.firstEjection * (1 << doublings), m_options.longestEjection);
    entry.probing = false;
    entry.successfulProbes = 0;
}

void outlier_detector::reinstate(target_index target)
{
    record& entry = m_records[target];
    const int inRow = entry.ejectionsInRow;
    --m_domains[entry.domain].ejected;
    std::erase(m_ejected, target);
    // The samples that led to this ejection must not cause the next one.
    entry = { .watched = true, .domain = entry.domain, .ejectionsInRow = inRow };
    if (m_options.log)
        m_options.log->write(events::targetReturned, { { "target", std::to_string(target) } });
    if (m_options.changed)
        m_options.changed(target, false);
}

void outlier_detector::probeEnded(target_index target, bool failed, base::time_point now)
{
    record& entry = m_records[target];
    entry.probing = false;
    if (failed)
        startEjectionPeriod(entry, now);
    else if (++entry.successfulProbes >= m_options.probesToReturn)
        reinstate(target);
    else
        entry.nextProbe = now;
}

bool outlier_detector::isEjected(target_index target) const
{
    return target < m_records.size() && m_records[target].ejected;
}

target_index outlier_detector::dueProbe(
    base::time_point now, const std::function<bool(target_index)>& usable) const
{
    target_index best = noTarget;
    for (const target_index target : m_ejected) {
        const record& entry = m_records[target];
        if (entry.nextProbe <= now && (best == noTarget || entry.nextProbe < m_records[best].nextProbe)
            && (!usable || usable(target)))
            best = target;
    }
    return best;
}

void outlier_detector::beginProbe(target_index target, base::time_point now)
{
    record& entry = m_records[target];
    entry.probing = true;
    entry.nextProbe = now + m_options.probeTimeout;
}

std::size_t outlier_detector::ejectedIn(std::string_view domain) const
{
    const auto found = std::ranges::find(m_domains, domain, &domain_record::name);
    return found == m_domains.end() ? 0 : found->ejected;
}

} // namespace marigold::routing
