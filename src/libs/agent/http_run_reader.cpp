#include "http_run_reader.h"

namespace marigold::agent {

namespace {

/// Unsent bytes above which a reader is cut off; it can resume, since the run keeps its recent chunks.
constexpr std::size_t maxPendingBytes = 1 << 20;

} // namespace

void http_run_reader::started()
{
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_exchange->startStream(
        200, { { "Content-Type", "text/event-stream" }, { std::string(protocol::loadHeader), m_load() } });
}

void http_run_reader::writeChunk(const protocol::run_chunk& chunk)
{
    started();
    if (m_exchange->pendingBytes() > maxPendingBytes)
        return m_exchange->abort();
    m_exchange->write(net::encodeEvent(chunk.encode()));
    if (!chunk.isFinal)
        return;
    m_exchange->write(net::encodeEvent(m_load(), {}, "load"));
    m_exchange->endStream();
}

void http_run_reader::failed(const base::error& problem)
{
    if (!m_hasStarted)
        return node::replyError(m_exchange, problem, { { std::string(protocol::loadHeader), m_load() } });
    m_exchange->write(net::encodeEvent(protocol::encodeError(problem), {}, "error"));
    m_exchange->endStream();
}

bool http_run_reader::isOpen() const
{
    return m_exchange->isOpen();
}

} // namespace marigold::agent
