#include "events.h"
#include "relay_server.h"

#include <algorithm>
#include <utility>

namespace marigold::relay {

namespace {

/// Interval in which a stopping process looks whether its callers have taken their answers.
constexpr base::duration drainCheckInterval = std::chrono::milliseconds(20);

} // namespace

void relay_server::drain()
{
    if (std::exchange(m_draining, true))
        return;
    m_log.write(events::processState, { { "state", "draining" } });
    m_lease.release();
    m_callers.closeAfterAnswer();
    m_services.endsAt = m_clock.now() + m_options.drainLimit;
    m_loop.runAfter(m_options.drainLimit, [this] { finishDrain(); });
    // The load balancer still sends new connections until it has detected that this process is not ready.
    m_loop.runAfter(std::min(m_options.noticePeriod, m_options.drainLimit / 2), [this] {
        m_noticePeriodOver = true;
        m_callers.closeWhenIdle();
        finishDrainIfIdle();
    });
}

void relay_server::finishDrainIfIdle()
{
    if (!m_noticePeriodOver || m_finished || !m_sessions.empty())
        return;
    if (!m_callers.hasPendingAnswers())
        return finishDrain();
    // A session ends when its answer is in the buffer of its connection; slow callers have yet to take it.
    if (!std::exchange(m_drainCheckScheduled, true))
        m_loop.runAfter(drainCheckInterval, [this] {
            m_drainCheckScheduled = false;
            finishDrainIfIdle();
        });
}

void relay_server::finishDrain()
{
    if (std::exchange(m_finished, true))
        return;
    std::vector<relay_session*> sessions;
    for (const auto& [key, session] : m_sessions)
        sessions.push_back(key);
    for (relay_session* session : sessions)
        session->endForStop();
    // Without it, the other processes would wait for the lease to expire.
    m_presence.withdraw();
    // Leaves time for the last answers and the revocation of the presence lease to be sent.
    constexpr base::duration lastSendTime = std::chrono::milliseconds(100);
    m_loop.runAfter(
        lastSendTime, [this, stopBy = m_clock.now() + m_options.lastSendLimit] { stopWhenSent(stopBy); });
}

void relay_server::stopWhenSent(base::time_point stopBy)
{
    if (!m_callers.hasPendingAnswers() || m_clock.now() >= stopBy)
        return m_loop.stop();
    m_loop.runAfter(drainCheckInterval, [this, stopBy] { stopWhenSent(stopBy); });
}

} // namespace marigold::relay
