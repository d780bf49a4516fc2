#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

struct evbuffer;

namespace marigold::relay {

/// The body of a request in blocks. It grows without copies of what it holds, and several connections can
/// send it without a copy of their own.
class content_buffer {
public:
    content_buffer() = default;

    void append(std::string_view bytes);
    std::size_t size() const;
    bool empty() const { return size() == 0; }

    /// Returns a hash of the first 4 KiB of the content and of its size.
    std::uint64_t fingerprint() const;

    /// Appends the content to \a output by reference. Nothing may be appended to the content afterwards; it
    /// may be destroyed before \a output has been sent.
    void addTo(::evbuffer* output) const;

    /// Returns the bytes of memory for \a size bytes of content, with the references of one connection.
    static std::size_t heldBytes(std::size_t size);

private:
    struct buffer_deleter {
        void operator()(::evbuffer* buffer) const;
    };

    std::unique_ptr<::evbuffer, buffer_deleter> m_buffer;
};

} // namespace marigold::relay
