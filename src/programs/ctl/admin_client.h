#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::ctl {

/// State in which a call ended.
enum class call_state {
    Answered,
    NotReached, ///< No connection was established; the request was not sent.
    Lost, ///< The connection was closed or timed out before the response was complete.
};

struct call_result {
    call_state state = call_state::NotReached;
    int status = 0;
    std::string body = {};
    std::string entry = {}; ///< The entry that was called last.
};

/// Calls the admin interface of the entries over HTTP, on an event loop that runs only during a call.
class admin_client {
public:
    struct options {
        std::vector<std::string> entries; ///< http://IP:PORT
        std::string key = {};
        std::chrono::milliseconds timeout { 10'000 };
    };

    /// Maximum size of a response. A configuration of the target size takes 560 KB.
    static constexpr std::size_t maxResponseBytes = 16'777'216;

    explicit admin_client(options opts);
    ~admin_client();

    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    /// Gets \a path from the first entry that can serve it. The next entry is tried after a failed
    /// connection, a server error or status 429.
    call_result get(const std::string& path);

    /// Posts \a body to the first entry that is reached. Another entry is tried only if the request was not
    /// sent, or if the entry replied that it did not run.
    call_result post(const std::string& path, const std::string& body);

    /// Runs the loop for \a time.
    void pause(std::chrono::milliseconds time);

private:
    struct loop;

    call_result call(const std::string& entry, bool isPost, const std::string& path, const std::string& body);

    options m_options;
    std::unique_ptr<loop> m_loop;
};

/// Returns \a text with all characters but letters, digits, '.', '_', '~' and '-' percent-encoded.
std::string escapePath(std::string_view text);

} // namespace marigold::ctl
