#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::net {

/// Header fields in order; names are compared case-insensitively.
class http_headers {
public:
    http_headers() = default;
    http_headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }

    /// Returns the value of the first field called \a name.
    std::optional<std::string_view> find(std::string_view name) const;

    const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct http_response {
    int status = 200;
    http_headers headers = {};
    std::string body = {};
    /// The body had neither a length nor chunks and ended with its connection, as it also does if the sender
    /// ends in the middle of it.
    bool endsWithConnection = false;
};

/// Returns true if \a headers state a JSON body and \a body is no JSON text, for example because its sender
/// ended in the middle of it.
bool isCutJson(const http_headers& headers, std::string_view body);

/// An IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// Parses `ADDRESS:PORT` with an optional `http://` prefix.
    static std::optional<endpoint> parse(std::string_view text);

    std::string text() const;

    bool operator==(const endpoint&) const = default;
};

/// Encodes one server-sent event (WHATWG HTML, section 9.2) with optional \a id and \a name.
std::string encodeEvent(std::string_view data, std::string_view id = {}, std::string_view name = {});

/// Decodes a stream of server-sent events from chunks of any size.
class event_stream_decoder {
public:
    struct event {
        std::string id;
        std::string name;
        std::string data;
    };

    /// Processes the next bytes and returns the events that they complete.
    std::vector<event> feed(std::string_view bytes);

    /// Returns true if an incomplete event has more than \a limit bytes.
    bool isOversized(std::size_t limit) const { return m_line.size() + m_current.data.size() > limit; }

private:
    void processLine(std::vector<event>& completed);

    std::string m_line;
    event m_current;
    bool m_hasData = false;
};

} // namespace marigold::net
