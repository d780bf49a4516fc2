#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::net {

/// Header fields in order; names are compared case-insensitively.
///
/// All fields share one text. Thousands of short fields, each in strings of its own, would take many times
/// the bytes that were received.
class http_headers {
    struct entry {
        std::uint32_t begin; ///< Of the name in the text; the value follows it.
        std::uint32_t nameBytes;
        std::uint32_t valueBytes;
    };

public:
    using field = std::pair<std::string_view, std::string_view>;

    /// The names and values; valid until the fields are changed.
    class field_range {
    public:
        class iterator {
        public:
            using value_type = field;
            using difference_type = std::ptrdiff_t;

            iterator() = default;
            iterator(const http_headers* of, std::size_t at)
                : m_of(of)
                , m_at(at)
            {
            }

            field operator*() const { return m_of->at(m_at); }
            iterator& operator++()
            {
                ++m_at;
                return *this;
            }
            iterator operator++(int)
            {
                const iterator old = *this;
                ++m_at;
                return old;
            }
            bool operator==(const iterator&) const = default;

        private:
            const http_headers* m_of = nullptr;
            std::size_t m_at = 0;
        };

        explicit field_range(const http_headers& of)
            : m_of(&of)
        {
        }

        iterator begin() const { return { m_of, 0 }; }
        iterator end() const { return { m_of, m_of->m_entries.size() }; }
        std::size_t size() const { return m_of->m_entries.size(); }
        bool empty() const { return m_of->m_entries.empty(); }
        bool operator==(const field_range& other) const
        {
            return std::equal(begin(), end(), other.begin(), other.end());
        }

    private:
        const http_headers* m_of;
    };

    http_headers() = default;
    http_headers(std::initializer_list<std::pair<std::string, std::string>> fields)
    {
        for (const auto& [name, value] : fields)
            add(name, value);
    }

    void add(std::string_view name, std::string_view value);

    /// Returns the value of the first field called \a name.
    std::optional<std::string_view> find(std::string_view name) const;

    field_range fields() const { return field_range(*this); }

    /// Returns the allocated bytes.
    std::size_t heldBytes() const { return m_text.capacity() + m_entries.capacity() * sizeof(entry); }

    /// Releases memory that was allocated ahead.
    void shrink();

private:
    field at(std::size_t index) const;

    std::string m_text;
    std::vector<entry> m_entries;
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
