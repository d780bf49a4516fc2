#pragma once

#include "member_table.h"

namespace marigold::control {

/// Digests between the delegates of failure domains (design page, 4.5).
///
/// A delegate sends to each other domain the records of its own that changed since the last digest which that
/// domain confirmed, and within a region some loads. Without changes, the digest still says that the domain
/// can be reached.
class domain_exchange {
public:
    struct options {
        base::duration sameRegion = std::chrono::milliseconds(2500);
        base::duration otherRegion = std::chrono::seconds(15);
        int missedDigests = 3; ///< After this many intervals without a digest, a domain is unreachable.
        base::duration resend
            = std::chrono::minutes(10); ///< All records are sent again, against lost gossip.
    };

    /// One digest to send.
    struct outgoing {
        std::string to;
        membership_message message;
    };

    domain_exchange(const member& self, const member_table& table, const base::clock& time, options opts);

    /// Returns the digests that are due, if this process is a delegate.
    std::vector<outgoing> due();

    /// Lets all digests fall due now: news that shall not wait.
    void hurry();

    /// Handles a digest whose records have been merged.
    void handleDigest(const membership_message& digest);

    /// Merges the summary of a domain; says whether it was news.
    bool merge(const domain_summary& summary);

    /// Checks when the other domains were heard last; returns those declared unreachable now.
    std::vector<std::string> checkReachability();

    /// Says whether \a domain can be reached as far as its delegates and ours know.
    bool isReachable(std::string_view domain) const;

    /// Says whether this process is one of its domain's delegates, as of the last second.
    bool isDelegate() const { return m_isDelegate; }

    /// Recomputes the summary of the own domain, which its first delegate publishes; says whether it changed.
    bool updateOwnSummary(std::uint64_t ownVersion);

    /// Returns up to \a most summaries to piggyback: those with news first.
    std::vector<domain_summary> piggyback(std::size_t most);

    const std::map<std::string, domain_summary, std::less<>>& summaries() const { return m_summaries; }

private:
    /// What to confirm to a delegate of another domain.
    struct receipt {
        std::uint64_t incarnation = 0;
        std::uint64_t upTo = 0;
    };

    struct peer_domain {
        bool sameRegion = false;
        std::uint64_t confirmed = 0; ///< Last change that the domain has confirmed.
        std::uint64_t loadsSent = 0; ///< Last change of load that was sent; loads are not confirmed.
        std::map<std::string, receipt> received; ///< By sending delegate.
        base::time_point nextDigest {};
        base::time_point lastHeard {};
        std::size_t round = 0;
        base::time_point nextResend {};
        bool declared = false; ///< This process has declared it unreachable.
    };

    void refreshPeers();
    domain_summary ownSummary() const;
    void heard(const std::string& domain, const std::vector<domain_summary>& summaries);
    void publish(domain_summary summary);
    base::duration interval(const peer_domain& peer) const;
    std::uint64_t addStates(membership_message& message, const peer_domain& peer) const;
    void addLoads(membership_message& message, peer_domain& peer) const;
    outgoing digestFor(peer_domain& peer, const std::vector<std::string>& delegates);

    const member& m_self;
    const member_table& m_table;
    const base::clock& m_clock;
    options m_options;
    std::map<std::string, peer_domain, std::less<>> m_peers;
    std::map<std::string, domain_summary, std::less<>> m_summaries;
    std::map<std::string, unsigned, std::less<>> m_news; ///< Summaries to piggyback, with times sent.
    std::uint64_t m_stamp = 0;
    bool m_isDelegate = false;
    bool m_isFirst = false; ///< The first of the delegates.
    std::size_t m_rank = 0;
    std::size_t m_delegates = 0; ///< Delegates of the own domain.
    base::time_point m_nextRefresh {};
};

} // namespace marigold::control
