#pragma once

#include <string>
#include <string_view>

namespace marigold::control {

/// Port to datagrams between processes; a datagram may be lost, repeated, delayed or overtaken.
class datagram_port {
public:
    virtual ~datagram_port() = default;

    /// Sends \a bytes to \a address (IP number and port). Never calls back.
    virtual void send(const std::string& address, std::string_view bytes) = 0;
};

/// Authentication of datagrams, under a key that all processes of the fleet share.
class message_authenticator {
public:
    virtual ~message_authenticator() = default;

    /// Returns a tag of `tagBytes` for \a bytes.
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
