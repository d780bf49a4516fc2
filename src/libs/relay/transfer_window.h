#pragma once

#include <base/clock.h>

#include <array>
#include <cstddef>

namespace marigold::relay {

/// Bounds the transfers that this process has under way from one store, by additive increase and
/// multiplicative decrease (Chiu and Jain 1989) on the delay beyond what the link explains. A store whose
/// link has become slow, or that others load as well, then keeps a short queue instead of one of seconds.
class transfer_window {
public:
    struct options {
        double initial = 8;
        double least = 1;
        double most = 24;
        /// Delay beyond the expected one that counts as a queue at the link.
        base::duration tolerated = std::chrono::milliseconds(120);
        /// Transfers of one queue end together and must not shrink the window more than once.
        base::duration settle = std::chrono::milliseconds(250);
        /// Of the latest delays, this many must be above the tolerated one: single ones are the fault of the
        /// target that fetches.
        std::size_t delayedOfLatest = 4;
    };

    explicit transfer_window(options opts);
    transfer_window()
        : transfer_window(options {})
    {
    }

    bool hasRoom() const { return m_underWay + 1 <= m_size; }
    void began() { ++m_underWay; }

    /// Ends a transfer that took \a excess longer than expected.
    void ended(base::duration excess, base::time_point now);

    /// Ends a transfer of which nothing is known.
    void dropped() { --m_underWay; }

    double size() const { return m_size; }

private:
    options m_options;
    double m_size;
    int m_underWay = 0;
    base::time_point m_shrunkAt {};
    static constexpr std::size_t latest = 5;
    std::array<bool, latest> m_delayed {}; ///< Of the latest transfers, in a ring.
    std::size_t m_next = 0;
};

} // namespace marigold::relay
