#include "target_connection.h"

#include <relay/message/http_status.h>

#include <net/socket_state.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Sufficient for any valid answer head; a longer one is an error of the target.
constexpr std::size_t maxAnswerHeaderBytes = 64 << 10;

void setSocketOptions(int socket, base::duration tcpTimeout)
{
    const int on = 1;
    const int seconds = 1;
    const int probes = 2;
    const auto milliseconds = static_cast<unsigned>(tcpTimeout.count() / 1000);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

/// Returns the value of `timeout=N` in the Keep-Alive field.
std::optional<base::duration> keepAliveTimeout(const net::http_headers& headers)
{
    const auto field = headers.find("Keep-Alive");
    if (!field)
        return std::nullopt;
    constexpr std::string_view parameter = "timeout=";
    const auto at = field->find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = field->substr(at + parameter.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

std::string_view nameOf(stray_place place)
{
    constexpr std::array<std::string_view, 3> names { "before_answer", "after_answer", "idle" };
    return names[static_cast<std::size_t>(place)];
}

target_connection::target_connection(net::event_loop& loop, options opts)
    : m_loop(loop)
    , m_options(std::move(opts))
    , m_parser(message_parser::kind::Answer,
          { .head = [this](message_head&& head) { headParsed(std::move(head)); },
              .body =
                  [this](std::string_view chunk) {
                      if (!m_skippingAnswer && m_handler)
                          m_handler->answerChunk(chunk);
                  } },
          maxAnswerHeaderBytes)
{
    m_events = bufferevent_socket_new(loop.handle(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.to.port);
    inet_pton(AF_INET, m_options.to.address.c_str(), &address.sin_addr);
    const bool started
        = bufferevent_socket_connect(m_events, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    if (started)
        setSocketOptions(bufferevent_getfd(m_events), m_options.tcpTimeout);
    // Set after the connection attempt, since a failure in the constructor would call an owner that does not
    // have the connection yet.
    bufferevent_setcb(m_events, onReadable, nullptr, onEvent, this);
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
    const base::duration limit = started ? m_options.connectTimeout : base::duration::zero();
    m_connectTimer = m_loop.runAfter(limit, [this] {
        m_connectTimer = 0;
        fail("connection timed out");
    });
}

target_connection::~target_connection()
{
    m_loop.cancel(m_connectTimer);
    stopPreambleTimer();
    if (m_events)
        bufferevent_free(m_events);
}

void target_connection::send(std::string_view head, const content_buffer& body, answer_handler& handler)
{
    m_handler = &handler;
    m_skippingAnswer = m_foreignAnswerSeen = m_ownAnswerBegun = false;
    m_preambleBytes = 0;
    m_parser.reset();
    if (!m_events)
        return;
    bufferevent_write(m_events, head.data(), head.size());
    body.addTo(bufferevent_get_output(m_events));
}

bool target_connection::hasUnreadInput() const
{
    if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        return true;
    char byte = 0;
    const ssize_t received = recv(bufferevent_getfd(m_events), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool target_connection::isRequestUnwritten() const
{
    return evbuffer_get_length(bufferevent_get_output(m_events)) > 0
        || net::unacknowledgedBytes(bufferevent_getfd(m_events)) > 0;
}

void target_connection::cancel()
{
    m_handler = nullptr;
    close();
}

void target_connection::setPaused(bool paused)
{
    if (!m_events)
        return;
    if (paused)
        bufferevent_disable(m_events, EV_READ);
    else
        bufferevent_enable(m_events, EV_READ);
}

void target_connection::onReadable(::bufferevent*, void* self)
{
    static_cast<target_connection*>(self)->parse();
}

void target_connection::onEvent(::bufferevent*, short what, void* self)
{
    auto* connection = static_cast<target_connection*>(self);
    if (what & BEV_EVENT_CONNECTED) {
        connection->m_connected = true;
        connection->m_loop.cancel(std::exchange(connection->m_connectTimer, 0));
        return;
    }
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    connection->m_reusable = false;
    const bool orderly = (what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR);
    if (orderly && connection->m_handler && connection->m_parser.hasStarted()
        && connection->m_parser.feedEnd() == message_parser::progress::Complete) {
        // The target has ended rather than its answer.
        if (connection->m_closeEndsSuccess && connection->isRequestUnwritten())
            return connection->fail(
                "target closed its answer before it had the request", base::error_reason::StreamBroken);
        if (!connection->m_skippingAnswer)
            return connection->answerCompleted();
    }
    if (!connection->m_connected)
        return connection->fail("connection refused");
    // Timeouts of the kernel tell of the network; a close or reset is an act of the target.
    const bool timedOut = !orderly && EVUTIL_SOCKET_ERROR() == ETIMEDOUT;
    connection->fail(timedOut ? "connection timed out before the answer was complete"
                              : "connection lost before the answer was complete",
        timedOut ? base::error_reason::Unavailable : base::error_reason::StreamBroken);
}

void target_connection::headParsed(message_head&& head)
{
    if (!m_handler)
        return;
    if (head.status < http_status::ok) {
        m_skippingAnswer = true;
        return;
    }
    m_reusable = m_reusable && head.keepAlive;
    m_keepAlive = keepAliveTimeout(head.headers);
    // The status of a failure tells the outcome; its body only explains it.
    m_closeEndsSuccess = head.framing == body_framing::UntilClose && head.status < http_status::badRequest;
    m_skippingAnswer = !m_handler->answerBegins(head);
    m_foreignAnswerSeen = m_foreignAnswerSeen || m_skippingAnswer;
    m_ownAnswerBegun = !m_skippingAnswer;
    if (m_ownAnswerBegun)
        stopPreambleTimer();
    else
        reportStrayBytes(stray_place::BeforeAnswer);
}

void target_connection::reportStrayBytes(stray_place place) const
{
    if (m_options.onStrayBytes)
        m_options.onStrayBytes(*this, place);
}

bool target_connection::preambleWithinLimits(std::size_t newBytes)
{
    if (m_ownAnswerBegun)
        return true;
    m_preambleBytes += newBytes;
    if (m_preambleTimer == 0)
        m_preambleTimer = m_loop.runAfter(m_options.preambleTimeout, [this] {
            m_preambleTimer = 0;
            fail("answer head not complete in time");
        });
    return m_preambleBytes <= m_options.maxPreambleBytes;
}

void target_connection::parse()
{
    while (m_events) {
        evbuffer* input = bufferevent_get_input(m_events);
        const std::size_t size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        if (!m_handler) {
            reportStrayBytes(stray_place::Idle);
            return close();
        }
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ssize_t>(size)));
        const auto [used, progress] = m_parser.feed({ bytes, size });
        if (!m_events)
            return;
        evbuffer_drain(input, used);
        if (!preambleWithinLimits(used))
            return fail("too many bytes before the answer");
        if (progress == message_parser::progress::NeedMore)
            continue;
        if (progress != message_parser::progress::Complete)
            return fail("malformed answer");
        m_parser.reset();
        if (!m_skippingAnswer)
            return answerCompleted();
        m_skippingAnswer = false;
        stopPreambleTimer();
    }
}

void target_connection::answerCompleted()
{
    const bool hasSurplus = evbuffer_get_length(bufferevent_get_input(m_events)) > 0;
    const bool clean = !hasSurplus && evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    if (hasSurplus)
        reportStrayBytes(stray_place::AfterAnswer);
    answer_handler* handler = std::exchange(m_handler, nullptr);
    if (m_reusable && clean && !m_foreignAnswerSeen) {
        m_idleSince = base::system_clock().now();
        bufferevent_enable(m_events, EV_READ); // The answer may have ended while reading was paused.
        m_options.onIdle(*this);
    } else {
        close();
    }
    handler->answerEnds();
}

void target_connection::fail(std::string message, base::error_reason reason)
{
    answer_handler* handler = std::exchange(m_handler, nullptr);
    const bool connected = m_connected;
    close();
    if (handler)
        handler->answerFails({ .verdict = connected ? base::verdict::MayHaveRun : base::verdict::NotRun,
            .reason = reason,
            .message = std::move(message) });
}

void target_connection::close()
{
    if (!m_events)
        return;
    m_loop.cancel(std::exchange(m_connectTimer, 0));
    stopPreambleTimer();
    bufferevent_free(std::exchange(m_events, nullptr));
    m_options.onClosed(*this);
}

} // namespace marigold::relay
