#pragma once

#include "message_parser.h"

#include <base/base.h>
#include <net/event_loop.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace marigold::relay {

/// Takes the answer to one request.
class answer_handler {
public:
    virtual ~answer_handler() = default;

    /// Returns false if \a head answers another request: that answer is dropped and the next one is awaited.
    virtual bool answerBegins(const message_head& head) = 0;
    virtual void answerPiece(std::string_view piece) = 0;

    /// The answer is complete; the connection may be destroyed or kept by now.
    virtual void answerEnds() = 0;

    /// No complete answer will come. The verdict says whether the target may have got the request.
    virtual void answerFails(const base::error& failure) = 0;
};

/// One connection to a target. It carries one request at a time and may be kept between requests.
class target_connection {
public:
    struct options {
        net::endpoint to = {};
        base::duration connectTimeout = std::chrono::milliseconds(400);
        /// Unacknowledged bytes and unanswered probes end the connection after this time; without it a
        /// partition would hang the request until its deadline.
        base::duration silenceTimeout = std::chrono::milliseconds(2500);
        /// Called when the connection ended or must not be kept; it must be destroyed later, not inside.
        std::function<void(target_connection&)> onClosed = {};
        /// Called when an answer is complete and the connection may carry another request.
        std::function<void(target_connection&)> onIdle = {};
    };

    target_connection(net::event_loop& loop, options opts);
    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    /// Sends \a request, whole; \a handler must stay until its answer ended or `cancel` was called.
    void send(std::string_view request, answer_handler& handler);

    /// Drops the request under way by closing the connection, which tells the target to stop.
    void cancel();

    /// Stops or resumes reading the answer.
    void setPaused(bool paused);

    const net::endpoint& to() const { return m_options.to; }
    bool isOpen() const { return m_events != nullptr; }

    /// When the last answer ended.
    base::time_point idleSince() const { return m_idleSince; }

    /// How long the target keeps the idle connection, as it says itself.
    std::optional<base::duration> keepAlive() const { return m_keepAlive; }

private:
    static void readable(::bufferevent* events, void* self);
    static void changed(::bufferevent* events, short what, void* self);

    void parse();
    void headRead(message_head&& head);
    void completed();
    void fail(std::string message);
    void close();

    net::event_loop& m_loop;
    options m_options;
    ::bufferevent* m_events = nullptr;
    message_parser m_parser;
    answer_handler* m_handler = nullptr;
    base::timer_id m_connectTimer = 0;
    bool m_connected = false;
    bool m_skipping = false; ///< The present answer belongs to another request.
    bool m_sawOther = false;
    bool m_reusable = true;
    std::optional<base::duration> m_keepAlive;
    base::time_point m_idleSince {};
};

} // namespace marigold::relay
