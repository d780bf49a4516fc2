#pragma once

#include <net/http_types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigold::relay {

/// How the end of a message body is found (RFC 9112, section 6).
enum class body_framing {
    None,
    Length,
    Chunked,
    UntilClose, ///< An answer that ends with its connection; a reset is no end.
};

/// Start line and header fields of a message.
struct message_head {
    std::string method = {}; ///< Of a request.
    std::string target = {}; ///< Of a request: path and query as sent.
    int status = 0; ///< Of an answer.
    net::http_headers headers = {};
    body_framing framing = body_framing::None;
    std::uint64_t contentLength = 0;
    bool keepAlive = false;
};

/// Incremental HTTP/1.1 parser over http_parser. It rejects what two parsers could read differently: both
/// Content-Length and Transfer-Encoding, field names that are no tokens, control characters and upgrades.
class message_parser {
public:
    enum class kind {
        Request,
        Answer,
    };

    struct handlers {
        std::function<void(message_head&&)> head = {};
        std::function<void(std::string_view)> body = {};
    };

    enum class progress {
        NeedMore,
        Complete, ///< One message ended; the remaining bytes belong to the next one.
        Malformed,
        HeaderTooLarge,
    };

    struct fed {
        std::size_t used = 0; ///< Bytes consumed.
        progress state = progress::NeedMore;
    };

    message_parser(kind what, handlers calls, std::size_t maxHeaderBytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses \a bytes up to the end of the current message.
    fed feed(std::string_view bytes);

    /// Reports the orderly end of the connection; `Complete` if that ends the message.
    progress feedEnd();

    /// Prepares for the next message of the connection.
    void reset();

    /// Returns true once a byte of the current message was read.
    bool hasStarted() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns \a head serialised with the fields as they are; the caller sets those of the framing.
std::string requestHeadText(
    std::string_view method, std::string_view target, const net::http_headers& headers);

/// Returns the status line and \a headers of an answer.
std::string answerHeadText(int status, const net::http_headers& headers);

/// Returns the usual phrase for \a status.
std::string_view reasonPhrase(int status);

} // namespace marigold::relay
