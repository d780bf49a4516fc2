#include "udp_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <fmt/format.h>

namespace marigold::net {

namespace {

constexpr std::size_t maxDatagramBytes = 65535;

/// Maximum number of datagrams read per loop iteration, so that a flood cannot starve the other sockets.
constexpr int maxDatagramsPerIteration = 64;

sockaddr_in toSocketAddress(const endpoint& to)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    return address;
}

endpoint fromSocketAddress(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return { .address = text.data(), .port = ntohs(address.sin_port) };
}

} // namespace

struct udp_socket::private_data {
    event_loop& loop;
    handler onDatagram;
    int socket = -1;
    ::event* readable = nullptr;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;

    static void read(evutil_socket_t socket, short, void* argument)
    {
        auto* self = static_cast<private_data*>(argument);
        static std::array<char, maxDatagramBytes> buffer;
        for (int i = 0; i < maxDatagramsPerIteration; ++i) {
            sockaddr_in from {};
            socklen_t length = sizeof(from);
            const auto bytes = recvfrom(
                socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
            if (bytes < 0)
                return;
            self->received += static_cast<std::uint64_t>(bytes);
            self->onDatagram(
                fromSocketAddress(from), std::string_view(buffer.data(), static_cast<std::size_t>(bytes)));
        }
    }
};

udp_socket::udp_socket(event_loop& loop, handler onDatagram)
    : d(new private_data { .loop = loop, .onDatagram = std::move(onDatagram) })
{
}

udp_socket::~udp_socket()
{
    if (d->readable)
        event_free(d->readable);
    if (d->socket >= 0)
        close(d->socket);
}

base::result<void> udp_socket::bind(const endpoint& address)
{
    d->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in local = toSocketAddress(address);
    if (::bind(d->socket, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0)
        return base::notRun(base::error_reason::Unavailable,
            fmt::format("cannot bind {}: {}", address.text(), std::strerror(errno)));
    d->readable = event_new(d->loop.handle(), d->socket, EV_READ | EV_PERSIST, private_data::read, d.get());
    event_add(d->readable, nullptr);
    return {};
}

std::uint16_t udp_socket::port() const
{
    sockaddr_in local {};
    socklen_t length = sizeof(local);
    getsockname(d->socket, reinterpret_cast<sockaddr*>(&local), &length);
    return ntohs(local.sin_port);
}

void udp_socket::send(const endpoint& to, std::string_view bytes)
{
    const sockaddr_in address = toSocketAddress(to);
    const auto written = sendto(d->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (written > 0)
        d->sent += static_cast<std::uint64_t>(written);
}

std::uint64_t udp_socket::bytesSent() const
{
    return d->sent;
}

std::uint64_t udp_socket::bytesReceived() const
{
    return d->received;
}

} // namespace marigold::net
