#include "caller_connection.h"

#include <relay/message/http_status.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Time for the caller to take the last bytes of an answer before the connection is closed.
constexpr base::duration closeTimeout = std::chrono::seconds(2);

/// Bytes buffered ahead of the parser. The rest stays in the kernel until the current request is answered.
constexpr std::size_t readAheadBytes = 16 << 10;

/// Pending bytes of an answer above which its source pauses, unless memory is short.
constexpr std::size_t highWaterBytes = 256 << 10;

/// Memory of a connection without a request: its objects, those of libevent, and the descriptor.
constexpr std::size_t connectionBytes = 3 << 10;

} // namespace

caller_connection::caller_connection(net::event_loop& loop, resource_guard& guard, int socket, options opts)
    : m_loop(loop)
    , m_guard(guard)
    , m_options(std::move(opts))
    , m_held(guard.memory(), [this] { return evict(); })
    , m_events(bufferevent_socket_new(loop.handle(), socket, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(message_parser::kind::Request,
          { .head = [this](message_head&& head) { headParsed(std::move(head)); },
              .body =
                  [this](std::string_view chunk) {
                      m_bodyTooLarge
                          = m_bodyTooLarge || m_body.size() + chunk.size() > m_options.limits.maxBodyBytes;
                      if (!m_bodyTooLarge)
                          m_body.append(chunk);
                  } },
          m_options.limits.maxHeaderBytes)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent_setcb(m_events, onReadable, onWritten, onEvent, this);
    bufferevent_setwatermark(m_events, EV_READ, 0, readAheadBytes);
    bufferevent_setwatermark(m_events, EV_WRITE, highWaterBytes / 2, 0);
    evbuffer_add_cb(bufferevent_get_output(m_events), onOutputChanged, this);
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
    m_held.set(net::held_kind::Connections, connectionBytes);
    startTimer(m_options.limits.idleTimeout);
}

caller_connection::~caller_connection()
{
    stopTimer();
    m_loop.cancel(m_pauseTimer);
    if (m_events)
        freeEvents();
}

void caller_connection::onReadable(::bufferevent*, void* self)
{
    static_cast<caller_connection*>(self)->parse();
}

void caller_connection::onWritten(::bufferevent* events, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    if (connection->m_state == state::Closing && evbuffer_get_length(bufferevent_get_output(events)) == 0)
        connection->lastBytesWritten();
    else if (connection->m_handler)
        connection->m_handler->callerWritable();
    else if (connection->m_state == state::Idle && connection->mayResume())
        connection->parse(); // The next request may have waited for this answer to be taken.
}

void caller_connection::onOutputChanged(evbuffer* output, const evbuffer_cb_info* info, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    connection->m_held.set(net::held_kind::Answers, evbuffer_get_length(output));
    if (info->orig_size == 0)
        connection->m_held.restart(); // The caller had nothing to take before.
    if (info->n_deleted > 0) {
        connection->m_answerTaken = true;
        connection->m_held.progressed(info->n_deleted);
    }
}

void caller_connection::onEvent(::bufferevent*, short what, void* self)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        static_cast<caller_connection*>(self)->close();
}

void caller_connection::headParsed(message_head&& head)
{
    m_head = std::move(head);
    m_headComplete = true;
    m_bodyTooLarge = m_head.contentLength > m_options.limits.maxBodyBytes;
    const auto expect = m_head.headers.find("Expect");
    // HTTP/1.0 has no interim answers.
    if (expect && !m_bodyTooLarge && m_head.acceptsChunks)
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::parse()
{
    if (m_state == state::Handling || m_state == state::Answering || m_state == state::Closing
        || m_state == state::Closed)
        return;
    evbuffer* input = bufferevent_get_input(m_events);
    if (m_state == state::Lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (evbuffer_get_length(input) > 0 && m_pauseTimer == 0) {
        if (m_state == state::Idle) {
            // A caller that sends requests without reading the answers gets no further ones.
            if (pendingBytes() > pendingLimit())
                return;
            m_state = state::Reading;
            m_held.restart();
            startTimer(m_options.limits.headerTimeout);
        }
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ssize_t>(size)));
        const auto [used, progress] = m_parser.feed({ bytes, size });
        evbuffer_drain(input, used);
        m_held.progressed(used);
        switch (progress) {
        case message_parser::progress::NeedMore:
            if (m_bodyTooLarge)
                return rejectRequest(http_status::contentTooLarge);
            if (!accountRequest())
                return pauseReading();
            continue;
        case message_parser::progress::Malformed:
            return rejectRequest(http_status::badRequest);
        case message_parser::progress::HeaderTooLarge:
            return rejectRequest(http_status::headersTooLarge);
        case message_parser::progress::Complete:
            break;
        }
        if (m_bodyTooLarge)
            return rejectRequest(http_status::contentTooLarge);
        return requestComplete();
    }
}

bool caller_connection::accountRequest()
{
    const std::size_t headBytes
        = m_headComplete ? m_head.headers.heldBytes() + m_head.target.capacity() : m_parser.heldBytes();
    // A body of known length is accounted for as a whole, so that those that were begun can be completed.
    const std::size_t bodySize = m_headComplete
        ? std::max(m_body.size(), static_cast<std::size_t>(m_head.contentLength))
        : std::size_t { 0 };
    return m_held.trySet(net::held_kind::Heads, headBytes)
        && m_held.trySet(net::held_kind::Bodies, content_buffer::heldBytes(bodySize));
}

void caller_connection::requestComplete()
{
    const bool accepted = accountRequest();
    stopTimer();
    m_state = state::Handling;
    m_keepAlive = m_head.keepAlive;
    m_acceptsChunks = m_head.acceptsChunks;
    m_headComplete = false;
    m_parser.reset();
    if (!accepted) {
        refuseRequest();
        return;
    }
    content_buffer body = std::exchange(m_body, {});
    m_options.onRequest(*this, std::exchange(m_head, {}), std::move(body));
}

void caller_connection::refuseRequest()
{
    m_guard.count(limit_action::RequestRefused);
    net::http_headers fields = m_guard.refusalFields(m_head);
    m_head = {};
    m_body = {};
    answer(http_status::serviceUnavailable, std::move(fields), {});
}

void caller_connection::pauseReading()
{
    bufferevent_disable(m_events, EV_READ);
    m_pausedSince = m_guard.clock().now();
    m_pauseTimer = m_loop.runAfter(resource_guard::pauseInterval, [this] { resumeReading(); });
}

void caller_connection::resumeReading()
{
    m_pauseTimer = 0;
    if (m_state != state::Reading)
        return;
    if (accountRequest()) {
        m_held.restart();
        bufferevent_enable(m_events, EV_READ);
        return parse();
    }
    if (m_guard.clock().now() - m_pausedSince < resource_guard::maxPause) {
        m_pauseTimer = m_loop.runAfter(resource_guard::pauseInterval, [this] { resumeReading(); });
        return;
    }
    m_guard.count(limit_action::RequestRefused);
    rejectRequest(http_status::serviceUnavailable, m_guard.refusalFields(m_head));
}

bool caller_connection::evict()
{
    switch (m_state) {
    case state::Handling:
    case state::Closed:
        return false;
    case state::Reading:
        m_guard.count(limit_action::ConnectionClosed);
        rejectRequest(http_status::serviceUnavailable, m_guard.refusalFields(m_head));
        return true;
    default:
        if (m_state == state::Answering && pendingBytes() == 0)
            return false; // The target has not sent more, which is no fault of the caller.
        m_guard.count(limit_action::ConnectionClosed);
        close();
        return true;
    }
}

bool caller_connection::makeRoom()
{
    if (m_state != state::Idle && m_state != state::Reading && m_state != state::Lingering)
        return false;
    m_guard.count(limit_action::IdleConnectionClosed);
    if (m_state == state::Reading) {
        // The text is short enough for the buffer of the kernel, which sends it after the close.
        rejectRequest(http_status::serviceUnavailable, m_guard.refusalFields(m_head));
        if (m_events)
            evbuffer_write(bufferevent_get_output(m_events), bufferevent_getfd(m_events));
    }
    close();
    return true;
}

std::size_t caller_connection::pendingLimit() const
{
    return m_guard.memory().answerLimit(highWaterBytes);
}

void caller_connection::rejectRequest(int status, net::http_headers headers)
{
    m_loop.cancel(std::exchange(m_pauseTimer, 0));
    m_closeAfterAnswer = m_rejected = true;
    m_state = state::Handling;
    m_parser.reset();
    m_head = {};
    m_body = {};
    bufferevent_enable(m_events, EV_READ);
    answer(status, std::move(headers), {});
}

void caller_connection::write(std::string_view bytes)
{
    if (m_events)
        bufferevent_write(m_events, bytes.data(), bytes.size());
}

void caller_connection::answer(int status, net::http_headers headers, std::string_view body)
{
    if (m_state == state::Answering)
        return abort();
    if (m_state != state::Handling)
        return;
    if (http_status::mayHaveBody(status))
        headers.add("Content-Length", std::to_string(body.size()));
    else
        body = {};
    if (m_closeAfterAnswer || !m_keepAlive)
        headers.add("Connection", "close");
    std::string text = answerHeadText(status, headers);
    text += body;
    write(text);
    requestEnded();
}

void caller_connection::beginAnswer(int status, net::http_headers headers)
{
    if (m_state != state::Handling)
        return;
    if (m_acceptsChunks)
        headers.add("Transfer-Encoding", "chunked");
    else
        m_endsWithConnection = true;
    if (m_closeAfterAnswer || !m_keepAlive || m_endsWithConnection)
        headers.add("Connection", "close");
    m_state = state::Answering;
    write(answerHeadText(status, headers));
}

void caller_connection::writeChunk(std::string_view chunk)
{
    if (m_state != state::Answering || chunk.empty())
        return;
    if (m_endsWithConnection)
        return write(chunk);
    std::string text = fmt::format("{:x}\r\n", chunk.size());
    text += chunk;
    text += "\r\n";
    write(text);
}

void caller_connection::endAnswer()
{
    if (m_state != state::Answering)
        return;
    if (!m_endsWithConnection)
        write("0\r\n\r\n");
    requestEnded();
}

void caller_connection::requestEnded()
{
    m_handler = nullptr;
    for (const auto kind : { net::held_kind::Heads, net::held_kind::Bodies, net::held_kind::Requests })
        m_held.set(kind, 0);
    m_held.restart();
    if (m_closeAfterAnswer || !m_keepAlive || m_endsWithConnection)
        return beginClosing();
    m_state = state::Idle;
    startTimer(m_options.limits.idleTimeout);
    // Bytes of the next request may be buffered; they are parsed after the current callback.
    if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        bufferevent_trigger(m_events, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void caller_connection::beginClosing()
{
    m_state = state::Closing;
    startTimer(closeTimeout);
    if (pendingBytes() == 0)
        lastBytesWritten();
}

void caller_connection::lastBytesWritten()
{
    if (!m_rejected)
        return close();
    // Closing a socket with unread bytes resets the connection, and the caller would lose the error response.
    m_state = state::Lingering;
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
    parse();
}

void caller_connection::abort()
{
    m_handler = nullptr;
    if (m_endsWithConnection)
        close();
    else if (m_state != state::Closed)
        beginClosing();
}

void caller_connection::closeWhenIdle()
{
    m_closeAfterAnswer = true;
    if (m_state == state::Idle)
        beginClosing();
}

std::size_t caller_connection::pendingBytes() const
{
    return m_events ? evbuffer_get_length(bufferevent_get_output(m_events)) : 0;
}

void caller_connection::startTimer(base::duration limit)
{
    stopTimer();
    m_answerTaken = false;
    m_timer = m_loop.runAfter(limit, [this] {
        m_timer = 0;
        const bool isTakingAnswer = m_answerTaken && pendingBytes() > 0; // It reads slowly, but goes on.
        if (m_state == state::Reading)
            rejectRequest(http_status::requestTimeout);
        else if (m_state == state::Idle && isTakingAnswer)
            startTimer(m_options.limits.idleTimeout);
        else if (m_state == state::Closing && isTakingAnswer)
            startTimer(closeTimeout);
        else
            close();
    });
}

void caller_connection::stopTimer()
{
    m_loop.cancel(std::exchange(m_timer, 0));
}

void caller_connection::freeEvents()
{
    // An orderly close would complete an answer that has no other end.
    if (m_endsWithConnection && (m_state == state::Answering || pendingBytes() > 0)) {
        const linger none { .l_onoff = 1, .l_linger = 0 };
        setsockopt(bufferevent_getfd(m_events), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    }
    bufferevent_free(std::exchange(m_events, nullptr));
}

void caller_connection::close()
{
    if (m_state == state::Closed)
        return;
    stopTimer();
    m_loop.cancel(std::exchange(m_pauseTimer, 0));
    freeEvents();
    m_state = state::Closed;
    m_head = {};
    m_body = {};
    m_parser.reset();
    for (std::size_t kind = 0; kind < net::heldKinds; ++kind)
        m_held.set(static_cast<net::held_kind>(kind), 0);
    if (caller_request_handler* handler = std::exchange(m_handler, nullptr))
        handler->callerDisconnected();
    m_options.onClosed(*this);
}

} // namespace marigold::relay
