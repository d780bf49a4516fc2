#include "target_end_detector.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

constexpr int maxProbes = 2;

/// Returns the place of \a request among those that were lost with a target, the least for the one whose
/// answer had begun last: the target may have ended since it began to write it.
int rankOf(const lost_request& request)
{
    return request.answerBegun ? request.events : std::numeric_limits<int>::max();
}

} // namespace

target_end_detector::target_end_detector(
    base::scheduler& timers, const base::clock& time, prober probe, ended_handler ended, options opts)
    : m_timers(timers)
    , m_clock(time)
    , m_probe(std::move(probe))
    , m_ended(std::move(ended))
    , m_options(opts)
{
}

std::string target_end_detector::incarnationOf(const target_registration& target)
{
    return fmt::format("{}/{}", target.id, target.startedAtMs);
}

target_end_detector::loss& target_end_detector::recordFor(const target_registration& target)
{
    removeOld();
    loss& record = m_losses[incarnationOf(target)];
    record.target = target;
    record.at = m_clock.now();
    return record;
}

target_presence target_end_detector::presenceOf(std::string_view incarnation, net::probe_result result) const
{
    const auto found = m_losses.find(incarnation);
    if (result == net::probe_result::Refused
        || (found != m_losses.end() && found->second.end == end_evidence::Ended))
        return target_presence::Ended;
    return result == net::probe_result::Accepted ? target_presence::Listening : target_presence::Unknown;
}

void target_end_detector::requestLost(const target_registration& target, lost_request request)
{
    const std::string incarnation = incarnationOf(target);
    loss& record = recordFor(target);
    if (record.end != end_evidence::None) {
        m_ended(record.target, incarnation, { std::move(request) });
        return;
    }
    const auto position = std::ranges::upper_bound(record.requests, rankOf(request), {}, rankOf);
    record.requests.insert(position, std::move(request));
    if (record.requests.size() > m_options.maxRequests)
        record.requests.pop_back();
    if (record.probes == 0)
        m_timers.runAfter(m_options.settleTime, [this, incarnation] { probe(incarnation); });
    record.probes = std::max(record.probes, 1);
}

void target_end_detector::checkEnded(
    const target_registration& target, std::function<void(target_presence found)> done)
{
    recordFor(target); // A registration that is replaced meanwhile confirms the end.
    const auto probed
        = [this, incarnation = incarnationOf(target), done = std::move(done)](net::probe_result result) {
              if (result == net::probe_result::Refused)
                  confirm(incarnation, end_evidence::Ended);
              done(presenceOf(incarnation, result));
          };
    m_timers.runAfter(m_options.settleTime,
        [this, address = target.address, probed] { m_probe(address, m_options.probeTimeout, probed); });
}

void target_end_detector::probe(const std::string& incarnation)
{
    const auto found = m_losses.find(incarnation);
    if (found == m_losses.end() || found->second.end != end_evidence::None)
        return;
    m_probe(found->second.target.address, m_options.probeTimeout,
        [this, incarnation](net::probe_result result) { probed(incarnation, result); });
}

void target_end_detector::probed(const std::string& incarnation, net::probe_result result)
{
    if (result == net::probe_result::Refused)
        return confirm(incarnation, end_evidence::Ended);
    const auto found = m_losses.find(incarnation);
    if (found == m_losses.end() || found->second.end != end_evidence::None)
        return;
    if (++found->second.probes > maxProbes) {
        found->second.probes = 0; // The next loss is probed again.
        return;
    }
    m_timers.runAfter(m_options.secondProbeDelay, [this, incarnation] { probe(incarnation); });
}

void target_end_detector::confirm(const std::string& incarnation, end_evidence evidence)
{
    const auto found = m_losses.find(incarnation);
    if (found == m_losses.end())
        return;
    const end_evidence known = found->second.end;
    found->second.end = std::max(known, evidence);
    if (known != end_evidence::None)
        return;
    const std::vector<lost_request> requests = std::exchange(found->second.requests, {});
    m_ended(target_registration(found->second.target), incarnation, requests);
}

void target_end_detector::targetRegistered(const target_registration& target)
{
    if (m_losses.empty())
        return;
    removeOld();
    const std::string incarnation = incarnationOf(target);
    std::vector<std::string> replaced;
    for (const auto& [name, record] : m_losses)
        if (name != incarnation && (record.target.id == target.id || record.target.address == target.address))
            replaced.push_back(name);
    for (const std::string& name : replaced)
        confirm(name, end_evidence::Ended);
}

void target_end_detector::targetRemoved(std::string_view id)
{
    removeOld();
    std::vector<std::string> removed;
    for (const auto& [name, record] : m_losses)
        if (record.target.id == id)
            removed.push_back(name);
    for (const std::string& name : removed)
        confirm(name, end_evidence::Removed);
}

void target_end_detector::removeOld()
{
    const base::time_point limit = m_clock.now() - m_options.memory;
    std::erase_if(m_losses, [limit](const auto& entry) { return entry.second.at < limit; });
}

} // namespace marigold::relay
