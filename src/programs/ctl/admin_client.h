#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::ctl {

/// How far a call came.
enum class call_state {
    Answered,
    NotReached, ///< No connection: the request was not sent.
    Lost, ///< The connection ended or the time passed before the whole answer came.
};

struct call_result {
    call_state state = call_state::NotReached;
    int status = 0;
    std::string body = {};
    std::string entry = {}; ///< The entry that was asked last.
};

/// Calls the admin interface of the entries over HTTP, on one loop that runs only during a call.
class admin_client {
public:
    struct options {
        std::vector<std::string> entries; ///< http://IP:PORT
        std::string key = {};
        std::chrono::milliseconds timeout { 10'000 };
    };

    /// Largest answer that is read. A configuration of the target size takes 560 KB.
    static constexpr std::size_t largestAnswer = 16'777'216;

    explicit admin_client(options opts);
    ~admin_client();

    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    /// Reads \a path from the first entry that answers without a server error.
    call_result get(const std::string& path);

    /// Posts \a body to the first entry that is reached. Another entry is tried only if the request was not
    /// sent, or if the entry says that it did not run.
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
