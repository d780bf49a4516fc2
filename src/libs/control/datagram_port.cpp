#include "datagram_port.h"

#include <base/base.h>

namespace marigold::control {

std::string hmac_authenticator::sign(std::string_view bytes) const
{
    const auto tag = base::truncate(base::hmacSha256(m_key, bytes));
    return { tag.begin(), tag.end() };
}

bool hmac_authenticator::verify(std::string_view bytes, std::string_view tag) const
{
    const std::string expected = sign(bytes);
    const auto* a = reinterpret_cast<const std::uint8_t*>(expected.data());
    const auto* b = reinterpret_cast<const std::uint8_t*>(tag.data());
    return base::equalConstantTime({ a, expected.size() }, { b, tag.size() });
}

} // namespace marigold::control
