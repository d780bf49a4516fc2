#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

struct XXH3_state_s;

namespace marigold::context {

/// Incremental checksum of the bytes of a block (XXH3, 64 bits). It detects accidental corruption only;
/// isolation between teams comes from the block key.
class block_checksum {
public:
    block_checksum();

    /// Appends the next \a bytes of the block.
    void add(std::span<const std::byte> bytes);

    /// Returns the checksum of all bytes added so far.
    std::uint64_t value() const;

    /// Returns the checksum of \a bytes alone.
    static std::uint64_t of(std::span<const std::byte> bytes);

private:
    struct deleter {
        void operator()(XXH3_state_s* state) const;
    };

    std::unique_ptr<XXH3_state_s, deleter> m_state;
};

} // namespace marigold::context
