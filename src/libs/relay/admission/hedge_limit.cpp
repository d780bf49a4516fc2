#include "hedge_limit.h"

#include "send_rate_limiter.h"
#include <relay/message/json_document.h>

#include <base/digest.h>

#include <algorithm>
#include <cmath>

namespace marigold::relay {

namespace {

/// Shares of the limit for the hedges that a process's own requests earn, and for those that the requests of
/// all processes earn. The rest covers processes that are not known to all others yet.
constexpr double ownPart = 0.5;
constexpr double commonPart = 0.4;

/// Limits of a report: datagrams come from the network.
constexpr std::size_t maxReportedServices = 64;
constexpr int maxReportedCount = 1'000'000;
constexpr std::size_t fieldsPerService = 3;

} // namespace

void sliding_count::add(base::time_point now)
{
    const std::int64_t slot = std::chrono::floor<slot_time>(now.time_since_epoch()).count();
    for (std::int64_t passed = std::max(m_newest + 1, slot - static_cast<std::int64_t>(slots) + 1);
         passed <= slot; ++passed)
        m_counts.at(static_cast<std::size_t>(passed) % slots) = 0;
    m_newest = std::max(m_newest, slot);
    ++m_counts.at(static_cast<std::size_t>(m_newest) % slots);
}

int sliding_count::since(std::int64_t firstSlot) const
{
    int sum = 0;
    const std::int64_t oldest = std::max<std::int64_t>(m_newest - static_cast<std::int64_t>(slots) + 1, 0);
    for (std::int64_t slot = std::max(firstSlot, oldest); slot <= m_newest; ++slot)
        sum += m_counts.at(static_cast<std::size_t>(slot) % slots);
    return sum;
}

int sliding_count::certain(base::time_point now, base::duration span) const
{
    return since(std::chrono::ceil<slot_time>((now - span).time_since_epoch()).count());
}

int sliding_count::possible(base::time_point now, base::duration span) const
{
    return since(std::chrono::floor<slot_time>((now - span).time_since_epoch()).count());
}

hedge_limit::hedge_limit(options opts)
    : m_options(std::move(opts))
{
}

void hedge_limit::setProcesses(std::span<const std::string_view> processes)
{
    m_others.assign(processes.begin(), processes.end());
    std::erase(m_others, m_options.process);
    std::erase_if(m_reports,
        [&](const auto& entry) { return std::ranges::find(m_others, entry.first) == m_others.end(); });
}

void hedge_limit::requestArrived(std::string_view service, base::time_point now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), counts {}).first;
    found->second.requests.add(now);
}

void hedge_limit::hedgeSent(std::string_view service, base::time_point now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), counts {}).first;
    found->second.hedges.add(now);
}

std::size_t hedge_limit::rank(std::string_view service) const
{
    const std::uint64_t own = base::rendezvousScore(service, m_options.process);
    return static_cast<std::size_t>(std::ranges::count_if(
        m_others, [&](const std::string& other) { return base::rendezvousScore(service, other) > own; }));
}

hedge_limit::reported_counts hedge_limit::reported(std::string_view service, base::time_point now) const
{
    const std::uint64_t hash = base::hash64(service);
    reported_counts sum;
    for (const auto& [process, report] : m_reports) {
        const auto found = report.services.find(hash);
        if (now - report.at > reportValidity || found == report.services.end())
            continue;
        sum.requests += found->second.requests;
        sum.hedges += found->second.hedges;
    }
    return sum;
}

bool hedge_limit::allows(std::string_view service, base::time_point now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const counts& own = found->second;
    const reported_counts others = reported(service, now);
    const double known = own.requests.certain(now, window) + others.requests;
    const bounded_share common { .bound = m_options.maxShare * known,
        .usedShare = commonPart,
        .processes = m_others.size() + 1,
        .rank = rank(service) };
    const double earned = std::floor(ownPart * m_options.maxShare * own.requests.certain(now, window));
    if (own.hedges.possible(now, window) + 1 > earned + common.value())
        return false;
    // Stops this process if others have used more than their part, for example because they know fewer
    // processes.
    const double recent = own.requests.possible(now, reportSpan) + others.requests;
    return own.hedges.possible(now, reportSpan) + others.hedges + 1
        <= std::max(m_options.maxShare * recent, 1.0);
}

std::string hedge_limit::report(base::time_point now) const
{
    nlohmann::json numbers = nlohmann::json::array();
    for (const auto& [service, own] : m_services) {
        const int requests = own.requests.certain(now, reportSpan);
        const int hedges = own.hedges.possible(now, reportSpan);
        if ((requests == 0 && hedges == 0) || numbers.size() >= fieldsPerService * maxReportedServices)
            continue;
        numbers.push_back(base::hash64(service));
        numbers.push_back(std::min(requests, maxReportedCount));
        numbers.push_back(std::min(hedges, maxReportedCount));
    }
    std::string bytes;
    if (!numbers.empty())
        nlohmann::json::to_msgpack(numbers, bytes);
    return bytes;
}

void hedge_limit::reportReceived(std::string_view process, std::string_view bytes, base::time_point now)
{
    if (std::ranges::find(m_others, process) == m_others.end())
        return;
    try {
        const nlohmann::json numbers = parseMessagePack(bytes);
        peer_report report { .at = now, .services = {} };
        const std::size_t count = std::min(numbers.size(), fieldsPerService * maxReportedServices);
        for (std::size_t i = 0; i + fieldsPerService <= count; i += fieldsPerService)
            report.services[integerOf(
                numbers.at(i), std::uint64_t { 0 }, std::numeric_limits<std::uint64_t>::max())]
                = { .requests = integerOf(numbers.at(i + 1), 0, maxReportedCount),
                      .hedges = integerOf(numbers.at(i + 2), 0, maxReportedCount) };
        m_reports.insert_or_assign(std::string(process), std::move(report));
    } catch (const std::exception&) { // Exceptions of nlohmann/json and document_error.
        return;
    }
}

} // namespace marigold::relay
