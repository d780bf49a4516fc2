#pragma once

#include <net/http_types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigold::relay {

/// How the end of a message body is determined (RFC 9112, section 6).
enum class body_framing {
    None,
    Length,
    Chunked,
    UntilClose, ///< An answer that ends when its connection is closed; a reset does not end it.
};

/// Returns the snake-case name of \a framing.
std::string_view nameOf(body_framing framing);

/// Start line and header fields of a message.
struct message_head {
    std::string method = {}; ///< Requests only.
    std::string target = {}; ///< Requests only: path and query as sent.
    int status = 0; ///< Answers only.
    net::http_headers headers = {};
    body_framing framing = body_framing::None;
    std::uint64_t contentLength = 0;
    bool keepAlive = false;
    bool acceptsChunks = true; ///< Requests only: false for HTTP/1.0, which has no chunked encoding.
};

/// Incremental HTTP/1.1 parser based on http_parser. Rejects messages that two parsers could interpret
/// differently: both Content-Length and Transfer-Encoding, field names that are not tokens, control
/// characters, and upgrades. Rejects answers whose status is none.
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
        Complete, ///< One message is complete; the remaining bytes belong to the next one.
        Malformed,
        HeaderTooLarge,
    };

    struct feed_result {
        std::size_t used = 0; ///< Bytes consumed.
        progress state = progress::NeedMore;
    };

    message_parser(kind messageKind, handlers calls, std::size_t maxHeaderBytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses \a bytes up to the end of the current message.
    feed_result feed(std::string_view bytes);

    /// Signals the orderly end of the connection; returns `Complete` if that ends the message.
    progress feedEnd();

    /// Prepares for the next message on the connection.
    void reset();

    /// Returns the allocated bytes of a head that is not complete yet.
    std::size_t heldBytes() const;

    /// Returns true after a byte of the current message was parsed.
    bool hasStarted() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns a serialised request head with the given fields; the caller adds the framing fields.
std::string requestHeadText(
    std::string_view method, std::string_view target, const net::http_headers& headers);

/// Returns the status line and \a headers of an answer.
std::string answerHeadText(int status, const net::http_headers& headers);

/// Returns the standard reason phrase of \a status.
std::string_view reasonPhrase(int status);

} // namespace marigold::relay
