#include "digest.h"

#include <algorithm>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace marigold::base {

namespace {

const unsigned char* bytesOf(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace

digest256 sha256(std::string_view data)
{
    digest256 out {};
    SHA256(bytesOf(data), data.size(), out.data());
    return out;
}

digest256 hmacSha256(std::string_view key, std::string_view data)
{
    digest256 out {};
    unsigned int length = out.size();
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(data), data.size(), out.data(),
        &length);
    return out;
}

digest128 truncate(const digest256& digest)
{
    digest128 out {};
    std::copy_n(digest.begin(), out.size(), out.begin());
    return out;
}

bool equalConstantTime(std::span<const std::uint8_t> a, std::span<const std::uint8_t> b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(std::span<const std::uint8_t> bytes)
{
    return fmt::format("{:02x}", fmt::join(bytes, ""));
}

std::optional<digest128> digest128FromHex(std::string_view text)
{
    digest128 out {};
    if (text.size() != out.size() * 2)
        return std::nullopt;
    for (std::size_t i = 0; i < out.size(); ++i) {
        const int high = hexValue(text[2 * i]);
        const int low = hexValue(text[2 * i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        out[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return out;
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

} // namespace marigold::base
