#pragma once

#include <relay/message/content_buffer.h>
#include <relay/message/message_parser.h>

#include <base/base.h>
#include <net/event_loop.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace marigold::relay {

/// Receives the answer to one request.
class answer_handler {
public:
    virtual ~answer_handler() = default;

    /// Called with the head of an answer. Returns false if it belongs to another request: that answer is
    /// discarded and the next one is awaited.
    virtual bool answerBegins(const message_head& head) = 0;
    virtual void answerChunk(std::string_view chunk) = 0;

    /// The answer is complete. The connection may already be destroyed or idle.
    virtual void answerEnds() = 0;

    /// No complete answer will be received. The verdict says whether the target may have received the
    /// request; the reason is `StreamBroken` if the target closed or reset the connection.
    virtual void answerFails(const base::error& failure) = 0;
};

/// Where bytes were received that are not the answer to a waiting request.
enum class stray_place {
    BeforeAnswer, ///< An answer to another request, in place of the awaited one.
    AfterAnswer, ///< Together with the end of a complete answer.
    Idle,
};

/// Returns the snake-case name of \a place.
std::string_view nameOf(stray_place place);

/// One connection to a target. It carries one request at a time and may be reused.
class target_connection {
public:
    struct options {
        net::endpoint to = {};
        base::duration connectTimeout = std::chrono::milliseconds(400);
        /// Time after which unacknowledged bytes or unanswered keep-alive probes end the connection. Without
        /// it, a network partition would block the request until its deadline.
        base::duration tcpTimeout = std::chrono::milliseconds(2500);
        /// Limits of what a target may send before the head of the answer is complete, such as interim
        /// answers or late answers to earlier requests; a target in trouble sends bytes without end.
        std::size_t maxPreambleBytes = 256 << 10;
        /// Time for one head, or for one answer that is discarded, from its first byte to its end.
        base::duration preambleTimeout = std::chrono::seconds(2);
        /// Called when the connection has closed or must not be reused. It must be destroyed later, not
        /// inside the callback.
        std::function<void(target_connection&)> onClosed = {};
        /// Called when an answer is complete and the connection can carry another request.
        std::function<void(target_connection&)> onIdle = {};
        /// Called when bytes are discarded that belong to no waiting request.
        std::function<void(const target_connection&, stray_place)> onStrayBytes = {};
    };

    target_connection(net::event_loop& loop, options opts);
    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    /// Sends a request with the given head and \a body, of which no copy is made. \a handler must exist until
    /// the answer has ended or `cancel` was called.
    void send(std::string_view head, const content_buffer& body, answer_handler& handler);

    /// Sends a complete \a request.
    void send(std::string_view request, answer_handler& handler) { send(request, {}, handler); }

    /// Cancels the current request by closing the connection, which makes the target stop.
    void cancel();

    /// Stops or resumes reading the answer.
    void setPaused(bool paused);

    const net::endpoint& to() const { return m_options.to; }
    bool isOpen() const { return m_events != nullptr; }

    /// Returns whether bytes, or the end of the connection, were received and not read yet.
    bool hasUnreadInput() const;

    /// Returns when the last answer ended.
    base::time_point idleSince() const { return m_idleSince; }

    /// Returns how long the target keeps an idle connection open according to its Keep-Alive field.
    std::optional<base::duration> keepAlive() const { return m_keepAlive; }

private:
    static void onReadable(::bufferevent* events, void* self);
    static void onEvent(::bufferevent* events, short what, void* self);

    void parse();
    void headParsed(message_head&& head);
    void answerCompleted();
    void fail(std::string message, base::error_reason reason = base::error_reason::Unavailable);
    void close();
    void reportStrayBytes(stray_place place) const;
    /// Returns true if the target has not received the whole request.
    bool isRequestUnwritten() const;
    bool preambleWithinLimits(std::size_t newBytes);
    void stopPreambleTimer() { m_loop.cancel(std::exchange(m_preambleTimer, 0)); }

    net::event_loop& m_loop;
    options m_options;
    ::bufferevent* m_events = nullptr;
    message_parser m_parser;
    answer_handler* m_handler = nullptr;
    base::timer_id m_connectTimer = 0;
    base::timer_id m_preambleTimer = 0;
    std::size_t m_preambleBytes = 0; ///< Received for the current request before its own answer.
    bool m_ownAnswerBegun = false; ///< The head of the answer to the current request has been accepted.
    bool m_connected = false;
    bool m_skippingAnswer = false; ///< The current answer belongs to another request.
    bool m_foreignAnswerSeen = false;
    bool m_closeEndsSuccess = false; ///< The current answer is a success that only the close ends.
    bool m_reusable = true;
    std::optional<base::duration> m_keepAlive;
    base::time_point m_idleSince {};
};

} // namespace marigold::relay
