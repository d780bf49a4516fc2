#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <memory>
#include <span>

namespace marigold::net {

/// UDP socket on the event loop. Sending never blocks; a datagram that the kernel rejects is lost, like one
/// lost in the network.
class udp_socket {
public:
    using handler = std::function<void(const endpoint& from, std::string_view bytes)>;

    udp_socket(event_loop& loop, handler onDatagram);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Binds to \a address; port 0 selects a free one.
    base::result<void> bind(const endpoint& address);

    std::uint16_t port() const;

    /// Sends one datagram of at most 64 KB.
    void send(const endpoint& to, std::string_view bytes);

    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
