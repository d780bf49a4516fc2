#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace marigold::context {

/// Interface to the storage of one tier, divided into extents of equal size.
class extent_storage {
public:
    virtual ~extent_storage() = default;

    virtual std::uint32_t extentCount() const = 0;

    /// Size of an extent in bytes.
    virtual std::uint32_t extentBytes() const = 0;

    /// Returns the bytes of extent \a index, which must be less than `extentCount()`.
    virtual std::span<std::byte> extent(std::uint32_t index) = 0;
};

/// Extents in the memory of this process. The memory is not initialized, so that pages are not committed
/// before their first use.
class heap_storage final : public extent_storage {
public:
    struct options {
        std::uint64_t capacityBytes = 0; ///< Rounded down to a multiple of the extent size.
        std::uint32_t extentBytes = 1 << 20;
    };

    explicit heap_storage(options opts);

    std::uint32_t extentCount() const override { return m_count; }
    std::uint32_t extentBytes() const override { return m_extentBytes; }
    std::span<std::byte> extent(std::uint32_t index) override;

private:
    std::uint32_t m_extentBytes;
    std::uint32_t m_count;
    std::unique_ptr<std::byte[]> m_bytes;
};

} // namespace marigold::context
