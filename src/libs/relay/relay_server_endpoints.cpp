#include "relay_server.h"
#include <relay/message/http_status.h>

#include <algorithm>

#include <fmt/format.h>

namespace marigold::relay {

void relay_server::answerReadiness(caller_connection& caller)
{
    const bool ready = !m_draining && m_services.config && m_guard.memory().canServe();
    caller.answer(ready ? http_status::ok : http_status::serviceUnavailable, {}, {});
}

void relay_server::answerMetrics(caller_connection& caller)
{
    const auto countTargets = [this](const auto& matches) {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_targets.targets(), [&](const auto& entry) { return matches(*entry.second); }));
    };
    const relay_gauges gauges { .configVersion = m_services.config ? m_services.config->version() : 0,
        .configAge = m_services.config ? m_clock.now() - m_configSince : base::duration::zero(),
        .targets = m_targets.targets().size(),
        .leavingTargets = countTargets([](const target_record& target) { return target.leaving; }),
        .pausedTargets = countTargets([this](const auto& target) { return m_targets.isPaused(target); }),
        .pacedTargets = countTargets([this](const auto& t) { return t.pace.isKnown(m_clock.now()); }),
        .slowTargets = countTargets([this](const auto& t) { return t.pace.factor(m_clock.now()) >= 2; }),
        .waiting = m_waitQueue.size(),
        .requests = m_sessions.size(),
        .callers = m_callers.connections(),
        .targetConnections = m_pool.open(),
        .guard = &m_guard,
        .processes = static_cast<int>(m_processes.size()),
        .blockedParts = m_quarantine.blocks().size(),
        .suspectParts = m_quarantine.suspects(),
        .runningRollouts = m_rollouts.running(),
        .holdsOrderLease = m_lease.mayOrder(),
        .storeReachable = m_follower.isReachable(),
        .loopLag = std::exchange(m_loopLag, base::duration::zero()) };
    caller.answer(
        http_status::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition(gauges));
}

void relay_server::answerQuarantine(caller_connection& caller)
{
    std::string text;
    for (const blocked_part& block : m_quarantine.blocks())
        text += fmt::format("part={} with={} ends={} remaining_s={}\n", block.part,
            fmt::join(block.with, ","), block.ends,
            std::chrono::duration_cast<std::chrono::seconds>(m_quarantine.remaining(block.part)).count());
    caller.answer(http_status::ok, { { "Content-Type", "text/plain" } }, text);
}

void relay_server::answerAdmission(caller_connection& caller)
{
    caller.answer(http_status::ok, { { "Content-Type", "text/plain" } },
        m_admission ? m_admission->describe() : std::string("disabled\n"));
}

} // namespace marigold::relay
