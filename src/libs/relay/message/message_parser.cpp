#include "message_parser.h"

#include "http_status.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <fmt/format.h>
#include <http_parser.h>

namespace marigold::relay {

namespace {

bool isToken(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [&](unsigned char c) {
        return std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool isFieldText(std::string_view value)
{
    return std::ranges::none_of(value, [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

} // namespace

std::string_view nameOf(body_framing framing)
{
    constexpr std::array<std::string_view, 4> names { "none", "length", "chunked", "until_close" };
    return names[static_cast<std::size_t>(framing)];
}

struct message_parser::private_data {
    http_parser parser {};
    kind messageKind;
    handlers calls;
    std::size_t maxHeaderBytes;
    std::size_t headerBytes = 0;
    message_head head;
    std::string name;
    std::string value;
    bool readingValue = false;
    bool started = false;
    bool headComplete = false;
    bool complete = false;
    bool malformed = false;
    bool tooLarge = false;

    static private_data& of(http_parser* parser) { return *static_cast<private_data*>(parser->data); }
    static int onMessageBegin(http_parser* parser);
    static int onTarget(http_parser* parser, const char* at, std::size_t size);
    static int onFieldName(http_parser* parser, const char* at, std::size_t size);
    static int onFieldValue(http_parser* parser, const char* at, std::size_t size);
    static int onHeadersComplete(http_parser* parser);
    static int onBody(http_parser* parser, const char* at, std::size_t size);
    static int onMessageComplete(http_parser* parser);
    static const http_parser_settings& settings();

    bool count(std::size_t bytes);
    bool flushField();
    void clear();
};

bool message_parser::private_data::count(std::size_t bytes)
{
    headerBytes += bytes;
    tooLarge = tooLarge || headerBytes > maxHeaderBytes;
    return !tooLarge;
}

bool message_parser::private_data::flushField()
{
    if (!name.empty() || readingValue) {
        if (!isToken(name) || !isFieldText(value)) {
            malformed = true;
            return false;
        }
        head.headers.add(name, value);
    }
    name.clear();
    value.clear();
    readingValue = false;
    return true;
}

void message_parser::private_data::clear()
{
    head = {};
    name = {};
    value = {};
    headerBytes = 0;
    readingValue = started = headComplete = complete = false;
}

int message_parser::private_data::onMessageBegin(http_parser* parser)
{
    of(parser).started = true;
    return 0;
}

int message_parser::private_data::onTarget(http_parser* parser, const char* at, std::size_t size)
{
    private_data& self = of(parser);
    self.head.target.append(at, size);
    return self.count(size) ? 0 : 1;
}

int message_parser::private_data::onFieldName(http_parser* parser, const char* at, std::size_t size)
{
    private_data& self = of(parser);
    if (self.headComplete)
        return 0; // Trailers are not forwarded.
    if (self.readingValue && !self.flushField())
        return 1;
    self.name.append(at, size);
    return self.count(size) ? 0 : 1;
}

int message_parser::private_data::onFieldValue(http_parser* parser, const char* at, std::size_t size)
{
    private_data& self = of(parser);
    if (self.headComplete)
        return 0;
    self.readingValue = true;
    self.value.append(at, size);
    return self.count(size) ? 0 : 1;
}

int message_parser::private_data::onHeadersComplete(http_parser* parser)
{
    private_data& self = of(parser);
    if (!self.flushField())
        return -1;
    const bool isRequest = self.messageKind == kind::Request;
    if (isRequest && parser->upgrade) {
        self.malformed = true;
        return -1;
    }
    if (!isRequest && !http_status::isValid(static_cast<int>(parser->status_code))) {
        self.malformed = true;
        return -1;
    }
    message_head& head = self.head;
    if (isRequest)
        head.method = http_method_str(static_cast<http_method>(parser->method));
    head.status = isRequest ? 0 : static_cast<int>(parser->status_code);
    head.keepAlive = http_should_keep_alive(parser) != 0;
    head.acceptsChunks = parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor > 0);
    if (parser->flags & F_CHUNKED)
        head.framing = body_framing::Chunked;
    else if (parser->content_length != ~std::uint64_t { 0 }) {
        head.framing = body_framing::Length;
        head.contentLength = parser->content_length;
    } else if (!isRequest && http_status::mayHaveBody(head.status))
        head.framing = body_framing::UntilClose;
    self.headComplete = true;
    head.headers.shrink();
    // The fields may state the length that the body of another status would have.
    const int skipBody = !isRequest && !http_status::mayHaveBody(head.status) ? 1 : 0;
    if (skipBody)
        head.framing = body_framing::None;
    self.calls.head(std::move(head));
    return skipBody;
}

int message_parser::private_data::onBody(http_parser* parser, const char* at, std::size_t size)
{
    of(parser).calls.body({ at, size });
    return 0;
}

int message_parser::private_data::onMessageComplete(http_parser* parser)
{
    of(parser).complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& message_parser::private_data::settings()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings made {};
        http_parser_settings_init(&made);
        made.on_message_begin = onMessageBegin;
        made.on_url = onTarget;
        made.on_header_field = onFieldName;
        made.on_header_value = onFieldValue;
        made.on_headers_complete = onHeadersComplete;
        made.on_body = onBody;
        made.on_message_complete = onMessageComplete;
        return made;
    }();
    return callbacks;
}

message_parser::message_parser(kind messageKind, handlers calls, std::size_t maxHeaderBytes)
    : d(std::make_unique<private_data>())
{
    d->messageKind = messageKind;
    d->calls = std::move(calls);
    d->maxHeaderBytes = maxHeaderBytes;
    http_parser_init(&d->parser, messageKind == kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    d->parser.data = d.get();
}

message_parser::~message_parser() = default;

message_parser::feed_result message_parser::feed(std::string_view bytes)
{
    const std::size_t used
        = http_parser_execute(&d->parser, &private_data::settings(), bytes.data(), bytes.size());
    if (d->tooLarge)
        return { .used = used, .state = progress::HeaderTooLarge };
    if (d->complete)
        return { .used = used, .state = progress::Complete };
    if (d->malformed || HTTP_PARSER_ERRNO(&d->parser) != HPE_OK || d->parser.upgrade)
        return { .used = used, .state = progress::Malformed };
    return { .used = used, .state = progress::NeedMore };
}

message_parser::progress message_parser::feedEnd()
{
    http_parser_execute(&d->parser, &private_data::settings(), nullptr, 0);
    return d->complete && !d->malformed ? progress::Complete : progress::Malformed;
}

void message_parser::reset()
{
    d->clear();
    http_parser_init(&d->parser, d->messageKind == kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    d->parser.data = d.get();
}

std::size_t message_parser::heldBytes() const
{
    return d->head.headers.heldBytes() + d->head.target.capacity() + d->name.capacity() + d->value.capacity();
}

bool message_parser::hasStarted() const
{
    return d->started;
}

std::string requestHeadText(
    std::string_view method, std::string_view target, const net::http_headers& headers)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    for (const auto& [name, value] : headers.fields())
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
    text += "\r\n";
    return text;
}

std::string answerHeadText(int status, const net::http_headers& headers)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    for (const auto& [name, value] : headers.fields())
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
    text += "\r\n";
    return text;
}

std::string_view reasonPhrase(int status)
{
    struct phrase {
        int status;
        std::string_view text;
    };
    constexpr std::array<phrase, 18> phrases { { { 200, "OK" }, { 201, "Created" }, { 202, "Accepted" },
        { 204, "No Content" }, { 304, "Not Modified" }, { 400, "Bad Request" }, { 401, "Unauthorized" },
        { 403, "Forbidden" }, { 404, "Not Found" }, { 408, "Request Timeout" }, { 413, "Content Too Large" },
        { 421, "Misdirected Request" }, { 429, "Too Many Requests" },
        { 431, "Request Header Fields Too Large" }, { 500, "Internal Server Error" }, { 502, "Bad Gateway" },
        { 503, "Service Unavailable" }, { 504, "Gateway Timeout" } } };
    const auto found = std::ranges::find(phrases, status, &phrase::status);
    return found == phrases.end() ? "Status" : found->text;
}

} // namespace marigold::relay
