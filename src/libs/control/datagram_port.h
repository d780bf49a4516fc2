#pragma once

#include <string>
#include <string_view>

namespace marigold::control {

/// Port for datagrams between processes. Datagrams may be lost, duplicated, delayed or reordered.
class datagram_port {
public:
    virtual ~datagram_port() = default;

    /// Sends \a bytes to \a address (IP address and port). Must not call back into the sender.
    virtual void send(const std::string& address, std::string_view bytes) = 0;
};

/// Authenticates datagrams with a key shared by all processes of the fleet.
class message_authenticator {
public:
    virtual ~message_authenticator() = default;

    /// Returns an authentication tag of `tagBytes` bytes for \a bytes.
    virtual std::string sign(std::string_view bytes) const = 0;

    virtual bool verify(std::string_view bytes, std::string_view tag) const = 0;

    static constexpr std::size_t tagBytes = 16;
};

/// HMAC-SHA256 (RFC 2104), truncated to 16 bytes.
class hmac_authenticator final : public message_authenticator {
public:
    explicit hmac_authenticator(std::string key)
        : m_key(std::move(key))
    {
    }

    std::string sign(std::string_view bytes) const override;
    bool verify(std::string_view bytes, std::string_view tag) const override;

private:
    std::string m_key;
};

} // namespace marigold::control
