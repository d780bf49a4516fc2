#include "bounded_output.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace marigold::base {

namespace {

/// Returns true if a write of up to `nonBlockingBytes` to \a descriptor does not block. The descriptor is not
/// set to non-blocking mode, since other processes may share it.
bool isWritable(int descriptor)
{
    pollfd state { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

/// A pipe that polls as writable accepts this size without blocking (PIPE_BUF, POSIX.1).
constexpr std::size_t nonBlockingBytes = 4096;

} // namespace

bounded_output::bounded_output(const clock& time, options opts)
    : m_clock(time)
    , m_options(std::move(opts))
{
}

void bounded_output::write(std::string_view line, bool isAlert)
{
    if (!m_pending.empty())
        flush(); // The reader may have consumed data.
    if (m_clock.now() - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = m_clock.now();
        m_windowLines = m_windowAlerts = 0;
        reportDropped();
    }
    int& count = isAlert ? m_windowAlerts : m_windowLines;
    if (++count > (isAlert ? m_options.alertsPerSecond : m_options.linesPerSecond)
        || m_pending.size() + line.size() > m_options.pendingBytes)
        return countDropped();
    m_pending += line;
    flush();
}

void bounded_output::countDropped()
{
    ++m_dropped;
}

void bounded_output::reportDropped()
{
    if (m_dropped == m_reportedDropped || !m_options.describeDropped)
        return;
    const std::string line = m_options.describeDropped(m_dropped - m_reportedDropped);
    if (m_pending.size() + line.size() > m_options.pendingBytes)
        return;
    m_pending += line;
    m_reportedDropped = m_dropped;
}

void bounded_output::flush()
{
    while (!m_pending.empty() && isWritable(m_options.descriptor)) {
        const std::size_t size = std::min(m_pending.size(), nonBlockingBytes);
        const ssize_t written = ::write(m_options.descriptor, m_pending.data(), size);
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace marigold::base
