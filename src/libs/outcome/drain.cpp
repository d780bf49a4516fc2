#include "drain.h"

#include "events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace marigold::outcome {

namespace {
constexpr std::array<std::string_view, 3> stateNames { "serving", "draining", "done" };
// Load balancers have detected the failed readiness probe by then.
constexpr std::chrono::milliseconds retryElsewhereAfter { 1000 };
} // namespace

std::string_view nameOf(drain_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

drain::drain(base::clock& time, base::scheduler& timers, options opts)
    : m_clock(time)
    , m_scheduler(timers)
    , m_options(std::move(opts))
{
}

drain::~drain()
{
    m_scheduler.cancel(m_limitTimer);
}

void drain::addHook(drain_phase phase, std::string name, hook run)
{
    m_hooks.push_back({ .phase = phase, .name = std::move(name), .run = std::move(run) });
}

base::result<drain::work_id> drain::enter(std::string description)
{
    if (m_state != drain_state::Serving) {
        auto refusal = base::notRun(base::error_reason::Unavailable, "this process is shutting down");
        refusal.value().retryAfter = retryElsewhereAfter;
        return refusal;
    }
    m_running.emplace(m_next, std::move(description));
    return m_next++;
}

void drain::leave(work_id id)
{
    if (m_running.erase(id) > 0)
        advance();
}

void drain::signal()
{
    if (m_state == drain_state::Draining)
        return force();
    if (m_state == drain_state::Done)
        return;
    m_state = drain_state::Draining;
    m_started = m_clock.now();
    m_limitTimer = m_scheduler.runAfter(m_options.limit, [this] {
        m_limitTimer = 0;
        force();
    });
    if (m_options.log)
        m_options.log->write(events::drainStarted, { { "running", fmt::to_string(m_running.size()) } });
    startHooks(drain_phase::OnStart);
    advance();
}

void drain::startHooks(drain_phase phase)
{
    // Marks all hooks first, so that a hook that completes synchronously does not end the phase.
    for (auto& item : m_hooks)
        item.pending = item.pending || item.phase == phase;
    for (std::size_t i = 0; i < m_hooks.size() && m_state == drain_state::Draining; ++i)
        if (m_hooks[i].phase == phase)
            m_hooks[i].run([this, i, alive = std::weak_ptr<bool>(m_alive)] {
                if (!alive.expired())
                    hookDone(i);
            });
}

void drain::hookDone(std::size_t index)
{
    if (std::exchange(m_hooks[index].pending, false))
        advance();
}

bool drain::hasPendingHooks() const
{
    return std::any_of(m_hooks.begin(), m_hooks.end(), [](const named_hook& item) { return item.pending; });
}

void drain::advance()
{
    if (m_state != drain_state::Draining || !m_running.empty())
        return;
    if (!std::exchange(m_afterWorkStarted, true))
        startHooks(drain_phase::AfterWork);
    if (m_state == drain_state::Draining && !hasPendingHooks())
        finish(false);
}

void drain::force()
{
    if (m_state == drain_state::Draining)
        finish(true);
}

void drain::finish(bool forced)
{
    m_state = drain_state::Done;
    m_scheduler.cancel(std::exchange(m_limitTimer, 0));
    drain_report report { .forced = forced, .took = m_clock.now() - m_started };
    for (const auto& [id, description] : m_running)
        report.interruptedRequests.push_back(description);
    for (const auto& item : m_hooks)
        if (item.pending || (item.phase == drain_phase::AfterWork && !m_afterWorkStarted))
            report.unfinishedHooks.push_back(item.name);
    if (m_options.log)
        m_options.log->write(forced ? events::drainForced : events::drainDone,
            { { "cut_requests", fmt::to_string(report.interruptedRequests.size()) },
                { "unfinished_hooks", fmt::to_string(report.unfinishedHooks.size()) } });
    if (m_options.finished)
        m_options.finished(report);
}

} // namespace marigold::outcome
