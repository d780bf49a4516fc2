#include "admin_client.h"

#include <fmt/format.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace marigold::ctl {

namespace {

/// State of one call on the event loop.
struct pending_call {
    event_base* base = nullptr;
    call_result result;
    bool failedAfterConnect = false;
    bool isDone = false;
};

timeval toTimeval(std::chrono::milliseconds time)
{
    return { .tv_sec = time.count() / 1000, .tv_usec = (time.count() % 1000) * 1000 };
}

void onError(evhttp_request_error, void* context)
{
    // libevent calls this only for errors after the connection was established; a failed connect is not
    // reported here.
    static_cast<pending_call*>(context)->failedAfterConnect = true;
}

void onDone(evhttp_request* request, void* context)
{
    auto& call = *static_cast<pending_call*>(context);
    call.isDone = true;
    event_base_loopbreak(call.base);
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 0) {
        call.result.state = !request || call.failedAfterConnect ? call_state::Lost : call_state::NotReached;
        return;
    }
    evbuffer* input = evhttp_request_get_input_buffer(request);
    call.result.state = call_state::Answered;
    call.result.status = status;
    call.result.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, call.result.body.data(), call.result.body.size());
}

/// Returns whether \a status means that the entry cannot serve the call now and another one should be tried.
bool isUnavailable(int status)
{
    return status == 429 || status >= 500;
}

/// Returns whether \a body contains the verdict that the request did not run.
bool hasNotRunVerdict(const std::string& body)
{
    // The text is searched instead of parsed, since the body of a server error may not be JSON.
    return body.find("\"not_run\"") != std::string::npos;
}

} // namespace

struct admin_client::loop {
    event_base* base = event_base_new();

    loop() = default;
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    ~loop() { event_base_free(base); }

    /// Runs until a callback ends the loop or \a time has passed.
    void runFor(std::chrono::milliseconds time) const
    {
        const timeval delay = toTimeval(time);
        event* timer = evtimer_new(
            base,
            [](evutil_socket_t, short, void* loopBase) {
                event_base_loopbreak(static_cast<event_base*>(loopBase));
            },
            base);
        evtimer_add(timer, &delay);
        event_base_dispatch(base);
        event_free(timer);
    }
};

admin_client::admin_client(options opts)
    : m_options(std::move(opts))
    , m_loop(std::make_unique<loop>())
{
}

admin_client::~admin_client() = default;

call_result admin_client::get(const std::string& path)
{
    call_result last;
    for (const auto& entry : m_options.entries) {
        call_result result = call(entry, false, path, {});
        if (result.state == call_state::Answered && !isUnavailable(result.status))
            return result;
        // A response contains a reason, so it takes precedence over a failed connection.
        if (last.state != call_state::Answered)
            last = std::move(result);
    }
    return last;
}

call_result admin_client::post(const std::string& path, const std::string& body)
{
    call_result last;
    for (const auto& entry : m_options.entries) {
        call_result result = call(entry, true, path, body);
        if (result.state == call_state::Lost)
            return result;
        if (result.state == call_state::Answered
            && !(isUnavailable(result.status) && hasNotRunVerdict(result.body)))
            return result;
        if (last.state != call_state::Answered)
            last = std::move(result);
    }
    return last;
}

void admin_client::pause(std::chrono::milliseconds time)
{
    m_loop->runFor(time);
}

call_result admin_client::call(
    const std::string& entry, bool isPost, const std::string& path, const std::string& body)
{
    pending_call pending { .base = m_loop->base, .result = { .entry = entry } };
    const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
        evhttp_uri_parse(entry.c_str()), evhttp_uri_free);
    if (!uri)
        return pending.result;
    std::string host = evhttp_uri_get_host(uri.get());
    const std::string hostHeader = fmt::format("{}:{}", host, evhttp_uri_get_port(uri.get()));
    if (host.starts_with('['))
        host = host.substr(1, host.size() - 2);
    evhttp_connection* connection = evhttp_connection_base_bufferevent_new(m_loop->base, nullptr, nullptr,
        host.c_str(), static_cast<unsigned short>(evhttp_uri_get_port(uri.get())));
    const timeval timeout = toTimeval(m_options.timeout);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_max_body_size(connection, maxResponseBytes);
    evhttp_request* request = evhttp_request_new(onDone, &pending);
    evhttp_request_set_error_cb(request, onError);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", hostHeader.c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (!m_options.key.empty())
        evhttp_add_header(headers, "Authorization", ("Bearer " + m_options.key).c_str());
    if (isPost) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    }
    if (evhttp_make_request(connection, request, isPost ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path.c_str())
        == 0)
        m_loop->runFor(m_options.timeout);
    // The timeout of the connection restarts with every byte, so this one limits the whole call. The request
    // may have been sent already.
    if (!pending.isDone)
        pending.result.state = call_state::Lost;
    evhttp_connection_free(connection);
    return pending.result;
}

std::string escapePath(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        const bool isPlain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || c == '.' || c == '_' || c == '~' || c == '-';
        out += isPlain ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return out;
}

} // namespace marigold::ctl
