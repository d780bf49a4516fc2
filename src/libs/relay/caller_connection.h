#pragma once

#include "message_parser.h"
#include "relay_config.h"

#include <net/event_loop.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace marigold::relay {

class caller_connection;

/// Takes part in one request on a caller's connection.
class caller_request_handler {
public:
    virtual ~caller_request_handler() = default;

    /// The caller closed its connection before the answer was complete.
    virtual void callerGone() = 0;

    /// The caller reads again after `pendingBytes` was above the limit.
    virtual void callerDrained() = 0;
};

/// One connection of a caller: reads a whole request, hands it over, writes one answer, and repeats.
///
/// The request is read into memory first, since a target that answers before it has read the body would
/// otherwise take the rest of it for another request.
class caller_connection {
public:
    struct options {
        caller_limits limits = {};
        /// Called with each whole request; the handler answers through the connection.
        std::function<void(caller_connection&, message_head&&, std::string&& body)> onRequest = {};
        /// Called once, when the connection has ended; it must be destroyed later, not inside.
        std::function<void(caller_connection&)> onClosed = {};
    };

    caller_connection(net::event_loop& loop, int socket, options opts);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sets who is told of the caller while a request is answered; null for nobody.
    void setHandler(caller_request_handler* handler) { m_handler = handler; }

    /// Sends a whole answer and ends the request.
    void answer(int status, net::http_headers headers, std::string_view body);

    /// Begins an answer whose body is sent in chunks.
    void beginAnswer(int status, net::http_headers headers);
    void writePiece(std::string_view piece);

    /// Ends an answer in chunks.
    void endAnswer();

    /// Closes after the bytes so far, without completing the answer, so that the caller sees it as broken.
    void abort();

    /// Closes after the next answer, which says so.
    void closeAfterAnswer() { m_closeAfter = true; }

    /// Closes as soon as no request is under way; a running one is answered with `Connection: close`.
    void closeWhenIdle();

    /// Bytes of the answer that the caller has not read yet.
    std::size_t pendingBytes() const;

    /// Pending bytes above which the source of the answer should pause.
    static constexpr std::size_t pauseAbove = 256 << 10;

private:
    enum class state {
        Idle, ///< Waits for the first byte of a request.
        Reading,
        Handling, ///< A whole request was read; the answer is not complete.
        Closing, ///< The last bytes are being written.
        Lingering, ///< All is written; the rest of a refused request is read and dropped.
        Closed,
    };

    static void readable(::bufferevent* events, void* self);
    static void drained(::bufferevent* events, void* self);
    static void changed(::bufferevent* events, short what, void* self);

    void parse();
    void headRead(message_head&& head);
    void refuse(int status);
    void requestEnded();
    void beginClosing();
    void lastBytesWritten();
    void close();
    void startTimer(base::duration limit);
    void stopTimer();
    void write(std::string_view bytes);

    net::event_loop& m_loop;
    options m_options;
    ::bufferevent* m_events;
    message_parser m_parser;
    message_head m_head;
    std::string m_body;
    bool m_tooLarge = false;
    bool m_refused = false; ///< The request was not read to its end.
    bool m_keepAlive = true;
    bool m_closeAfter = false;
    state m_state = state::Idle;
    caller_request_handler* m_handler = nullptr;
    base::timer_id m_timer = 0;
};

} // namespace marigold::relay
