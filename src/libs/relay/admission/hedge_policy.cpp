#include "hedge_policy.h"

#include <algorithm>
#include <array>

namespace marigold::relay {

namespace {

/// Share of the slots in use above which a service counts as short of capacity: a hedge would take the slot
/// of a request that is about to arrive.
constexpr double maxUtilisation = 0.8;

/// With less time left, an attempt cannot be answered in time.
constexpr base::duration minTimeLeft = std::chrono::milliseconds(20);

struct denial_rule {
    hedge_denial denial;
    bool (*applies)(const hedge_facts&);
};

/// In the order in which they are reported; those that do not depend on load come first.
constexpr std::array denialRules {
    denial_rule { hedge_denial::NotResumable,
        [](const hedge_facts& facts) { return facts.kind == request_kind::Stream && !facts.resumable; } },
    denial_rule { hedge_denial::NotRepeatable, [](const hedge_facts& facts) { return !facts.mayRepeat; } },
    denial_rule { hedge_denial::AnswerBegan, [](const hedge_facts& facts) { return facts.answerBegan; } },
    denial_rule { hedge_denial::PartBlocked, [](const hedge_facts& facts) { return facts.partBlocked; } },
    denial_rule { hedge_denial::MaxAttempts,
        [](const hedge_facts& facts) { return facts.possibleRuns >= facts.maxAttempts; } },
    denial_rule { hedge_denial::TooFewSamples, [](const hedge_facts& facts) { return !facts.usualTime; } },
    denial_rule { hedge_denial::TooLittleTime,
        [](const hedge_facts& facts) {
            return facts.timeLeft < std::max(minTimeLeft, facts.usualTime.value_or(minTimeLeft));
        } },
    denial_rule { hedge_denial::ServiceBusy,
        [](const hedge_facts& facts) { return facts.othersWait || facts.utilisation >= maxUtilisation; } },
    denial_rule { hedge_denial::TargetCold,
        [](const hedge_facts& facts) { return facts.target == hedge_target::Cold; } },
    denial_rule { hedge_denial::TargetPaused,
        [](const hedge_facts& facts) { return facts.target == hedge_target::Paused; } },
    denial_rule { hedge_denial::TargetLeaving,
        [](const hedge_facts& facts) { return facts.target == hedge_target::Leaving; } },
    denial_rule {
        hedge_denial::NoTarget, [](const hedge_facts& facts) { return facts.target == hedge_target::None; } },
    denial_rule { hedge_denial::LimitReached, [](const hedge_facts& facts) { return !facts.withinLimit; } },
    denial_rule { hedge_denial::BudgetUsed, [](const hedge_facts& facts) { return !facts.withinBudget; } },
};

} // namespace

std::string_view nameOf(hedge_denial denial)
{
    constexpr std::array<std::string_view, 14> names { "not_repeatable", "not_resumable", "answer_began",
        "part_blocked", "max_attempts", "too_few_samples", "too_little_time", "service_busy", "target_cold",
        "target_paused", "target_leaving", "no_target", "limit_reached", "budget_used" };
    return names[static_cast<std::size_t>(denial)];
}

std::optional<hedge_denial> judgeHedge(const hedge_facts& facts)
{
    const auto* rule
        = std::ranges::find_if(denialRules, [&](const denial_rule& item) { return item.applies(facts); });
    return rule == denialRules.end() ? std::nullopt : std::optional(rule->denial);
}

hedge_policy::hedge_policy(const base::clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
    , m_limit({ .process = m_options.process, .maxShare = m_options.maxShare })
{
}

void hedge_policy::requestArrived(std::string_view service)
{
    if (m_options.enabled)
        m_limit.requestArrived(service, m_clock.now());
}

void hedge_policy::firstByteReceived(std::string_view service, request_kind kind, base::duration time)
{
    if (m_options.enabled)
        m_times[{ std::string(service), kind }].add(time, m_clock.now());
}

std::optional<base::duration> hedge_policy::percentile(
    std::string_view service, request_kind kind, double share) const
{
    const auto found = m_times.find({ std::string(service), kind });
    if (found == m_times.end())
        return std::nullopt;
    return found->second.percentile(share, m_options.minSamples, m_clock.now());
}

std::optional<base::duration> hedge_policy::delay(std::string_view service, request_kind kind) const
{
    const auto late = percentile(service, kind, m_options.percentile);
    return late ? std::optional(std::max(*late, m_options.minDelay)) : std::nullopt;
}

std::optional<base::duration> hedge_policy::usualTime(std::string_view service, request_kind kind) const
{
    constexpr double median = 0.5;
    return percentile(service, kind, median);
}

std::string hedge_policy::takeReport()
{
    const base::time_point now = m_clock.now();
    if (!m_options.enabled || now < m_nextReport)
        return {};
    m_nextReport = now + reportInterval;
    return m_limit.report(now);
}

void hedge_policy::reportReceived(std::string_view process, std::string_view bytes)
{
    if (m_options.enabled)
        m_limit.reportReceived(process, bytes, m_clock.now());
}

} // namespace marigold::relay
