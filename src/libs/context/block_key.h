#pragma once

#include <base/base.h>

#include <compare>
#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::context {

/// Names one block of cached context. The key is a keyed hash, so its bytes are uniformly distributed and
/// only a holder of the team's secret can compute it.
class block_key {
public:
    /// The null key, which is the parent of the first block of a chain.
    block_key() = default;

    explicit block_key(const base::digest128& digest)
        : m_digest(digest)
    {
    }

    const base::digest128& digest() const { return m_digest; }
    bool isNull() const { return m_digest == base::digest128 {}; }
    std::string hex() const { return base::toHex(m_digest); }

    /// The 16 bytes as text, for hash functions; valid as long as this key.
    std::string_view view() const
    {
        return { reinterpret_cast<const char*>(m_digest.data()), m_digest.size() };
    }

    /// The first and the last 8 bytes, for tables.
    std::uint64_t high() const { return word(0); }
    std::uint64_t low() const { return word(sizeof(std::uint64_t)); }

    auto operator<=>(const block_key&) const = default;

private:
    std::uint64_t word(std::size_t offset) const
    {
        std::uint64_t value = 0;
        std::memcpy(&value, m_digest.data() + offset, sizeof value);
        return value;
    }

    base::digest128 m_digest {};
};

/// Hash for standard containers; a key is uniformly distributed already.
struct block_key_hash {
    std::size_t operator()(const block_key& key) const noexcept { return key.high(); }
};

/// Everything besides the prompt that decides whether a cached block may be used. The views must outlive the
/// call that takes the scope.
struct block_scope {
    std::string_view teamSecret; ///< At least `minimumSecretBytes`.
    std::string_view model;
    std::string_view weightVersion;
    std::string_view adapter = {}; ///< Empty without an adapter.
};

/// Shorter secrets could be guessed, and an empty one would be shared by every team that lacks a secret.
constexpr std::size_t minimumSecretBytes = 16;

/// Returns the key of one block: HMAC-SHA256 under the team's secret over the parent key, the scope and the
/// block bytes, truncated to 16 bytes. Each field is preceded by its length, and the first field is the
/// length of the secret, because HMAC pads keys with zeros and hashes long ones (RFC 2104), so that two
/// different secrets may act as the same HMAC key.
/// \param parent key of the block before, or the null key
/// \return `InvalidRequest` when the secret is too short
base::result<block_key> blockKey(const block_scope& scope, const block_key& parent, std::string_view block);

/// Returns one key for each whole block of \a prompt, each chained to the one before, so that a key stands
/// for the whole prefix. A partial block at the end has no key.
/// \param blockBytes size of a block in bytes of prompt, greater than zero
/// \return `InvalidRequest` when the secret is too short or the block size is zero
base::result<std::vector<block_key>> blockKeyChain(
    const block_scope& scope, std::string_view prompt, std::size_t blockBytes);

} // namespace marigold::context
