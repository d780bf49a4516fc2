#pragma once

#include <base/base.h>

namespace marigold::relay {

/// Requests at a target that its report counts and that no digest has told yet, because the digests of their
/// relays are on their way. They count until these digests can have arrived.
class unseen_requests {
public:
    struct options {
        /// About two rounds of digests.
        base::duration lifetime = std::chrono::milliseconds(150);
    };

    unseen_requests() = default;
    explicit unseen_requests(const options& opts)
        : m_options(opts)
    {
    }

    /// Records that a target has just reported \a reported requests, of which \a own of this process and
    /// \a peers of the others are known.
    void report(int reported, int own, int peers, base::time_point now);

    /// Returns the number of requests to add to the known ones, of which \a peers belong to others now.
    int count(int peers, base::time_point now) const;

    /// Returns whether the last report counts at \a now.
    bool isKnown(base::time_point now) const { return m_reported && now - m_at < m_options.lifetime; }

private:
    options m_options;
    int m_others = 0; ///< Requests of other processes at the last report.
    base::time_point m_at {};
    bool m_reported = false;
};

} // namespace marigold::relay
