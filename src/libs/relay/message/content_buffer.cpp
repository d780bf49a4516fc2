#include "content_buffer.h"

#include <base/digest.h>

#include <algorithm>
#include <string>

#include <event2/buffer.h>

namespace marigold::relay {

void content_buffer::buffer_deleter::operator()(::evbuffer* buffer) const
{
    evbuffer_free(buffer);
}

void content_buffer::append(std::string_view bytes)
{
    if (!m_buffer)
        m_buffer.reset(evbuffer_new());
    evbuffer_add(m_buffer.get(), bytes.data(), bytes.size());
}

std::size_t content_buffer::size() const
{
    return m_buffer ? evbuffer_get_length(m_buffer.get()) : 0;
}

std::uint64_t content_buffer::fingerprint() const
{
    constexpr std::size_t maxHashedBytes = 4 << 10;
    std::string start(std::min(size(), maxHashedBytes), '\0');
    if (m_buffer)
        evbuffer_copyout(m_buffer.get(), start.data(), start.size());
    return base::hash64(start, size());
}

void content_buffer::addTo(::evbuffer* output) const
{
    if (m_buffer)
        evbuffer_add_buffer_reference(output, m_buffer.get());
}

std::size_t content_buffer::heldBytes(std::size_t size)
{
    // A block has 4 KB or more, and a reference to one takes 512 bytes in libevent.
    constexpr std::size_t blockBytes = 4 << 10;
    constexpr std::size_t referenceBytes = 512;
    return size == 0 ? 0 : size + (size / blockBytes + 1) * referenceBytes;
}

} // namespace marigold::relay
