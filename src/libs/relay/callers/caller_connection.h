#pragma once

#include <relay/callers/resource_guard.h>
#include <relay/message/content_buffer.h>
#include <relay/message/message_parser.h>
#include <relay/store/relay_config.h>

#include <net/event_loop.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace marigold::relay {

class caller_connection;

/// Receives events of the caller's connection during one request.
class caller_request_handler {
public:
    virtual ~caller_request_handler() = default;

    /// The caller closed its connection before the answer was complete.
    virtual void callerDisconnected() = 0;

    /// Called when `pendingBytes` has fallen again after it exceeded the limit.
    virtual void callerWritable() = 0;
};

/// One connection of a caller: reads a complete request, passes it on, writes one answer, and repeats.
///
/// The request is buffered completely, since a target that answers before it has read the body would
/// otherwise take the rest of the body for another request.
class caller_connection {
public:
    struct options {
        caller_limits limits = {};
        /// Called with each complete request; the handler answers through the connection.
        std::function<void(caller_connection&, message_head&&, content_buffer&& body)> onRequest = {};
        /// Called once when the connection has closed. The connection must be destroyed later, not inside
        /// the callback.
        std::function<void(caller_connection&)> onClosed = {};
    };

    caller_connection(net::event_loop& loop, resource_guard& guard, int socket, options opts);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sets the handler for events of the caller while a request is answered; may be null.
    void setHandler(caller_request_handler* handler) { m_handler = handler; }

    /// Sends a complete answer and ends the request. If an answer has begun, its caller would read a second
    /// head as content, so the answer is aborted instead.
    void answer(int status, net::http_headers headers, std::string_view body);

    /// Begins an answer that has a body, with chunked transfer encoding, or for a caller that does not know
    /// it, an answer that ends with its connection.
    void beginAnswer(int status, net::http_headers headers);
    void writeChunk(std::string_view chunk);

    /// Sends the last chunk and ends the request.
    void endAnswer();

    /// Ends the connection without completing the answer, so that the caller detects that it is partial:
    /// after the pending bytes if the answer is chunked, and with a reset otherwise.
    void abort();

    /// Closes the connection after the next answer, which announces it with `Connection: close`.
    void closeAfterAnswer() { m_closeAfterAnswer = true; }

    /// Closes the connection as soon as no request is in progress; a running request is answered with
    /// `Connection: close`.
    void closeWhenIdle();

    /// Returns the bytes of the answer that have not been sent to the caller yet.
    std::size_t pendingBytes() const;

    /// Returns the pending bytes above which the source of the answer should pause. Less if memory is short.
    std::size_t pendingLimit() const;

    /// Returns true if the source of the answer may go on after a pause.
    bool mayResume() const { return pendingBytes() <= pendingLimit() / 2; }

    /// Accounts for what the request of this connection holds beyond its head and body.
    net::memory_account::holder& held() { return m_held; }

    /// Closes the connection in favour of a new one if it has no request, or one that stalls before its end.
    /// Returns whether it was closed.
    bool makeRoom();

    /// Returns since when the connection has made no progress.
    base::time_point lastProgress() const { return m_held.lastProgress(); }

private:
    enum class state {
        Idle, ///< Waits for the first byte of a request.
        Reading,
        Handling, ///< A complete request was read; no byte of its answer has been sent.
        Answering, ///< The head of the answer has been sent; the answer is not complete.
        Closing, ///< The last bytes are being written.
        Lingering, ///< The answer is written; the rest of a rejected request is read and discarded.
        Closed,
    };

    static void onReadable(::bufferevent* events, void* self);
    static void onWritten(::bufferevent* events, void* self);
    static void onEvent(::bufferevent* events, short what, void* self);

    static void onOutputChanged(::evbuffer* output, const ::evbuffer_cb_info* info, void* self);

    void parse();
    bool accountRequest();
    void requestComplete();
    void pauseReading();
    void resumeReading();
    bool evict();
    void refuseRequest();
    void headParsed(message_head&& head);
    void rejectRequest(int status, net::http_headers headers = {});
    void requestEnded();
    void beginClosing();
    void lastBytesWritten();
    void close();
    void freeEvents();
    void startTimer(base::duration limit);
    void stopTimer();
    void write(std::string_view bytes);

    net::event_loop& m_loop;
    resource_guard& m_guard;
    options m_options;
    net::memory_account::holder m_held;
    ::bufferevent* m_events;
    message_parser m_parser;
    message_head m_head;
    content_buffer m_body;
    bool m_headComplete = false;
    bool m_bodyTooLarge = false;
    bool m_rejected = false; ///< The request was rejected before its end was read.
    bool m_keepAlive = true;
    bool m_acceptsChunks = true;
    bool m_endsWithConnection = false; ///< The current answer has neither a length nor chunks.
    bool m_closeAfterAnswer = false;
    state m_state = state::Idle;
    caller_request_handler* m_handler = nullptr;
    base::timer_id m_timer = 0;
    base::timer_id m_pauseTimer = 0; ///< Runs while reading is paused for lack of memory.
    base::time_point m_pausedSince {};
    bool m_answerTaken = false; ///< The caller has taken bytes since the idle timer was started.
};

} // namespace marigold::relay
