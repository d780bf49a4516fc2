#pragma once

#include "member_table.h"

namespace marigold::control {

/// Digests between the delegates of failure domains (design page, 4.5).
///
/// A delegate sends each other domain the records of its own domain that changed since the last digest
/// confirmed by that domain, and within a region also some loads. Without changes, the digest still serves as
/// a heartbeat of the domain.
class domain_exchange {
public:
    struct options {
        base::duration sameRegionInterval = std::chrono::milliseconds(2500);
        base::duration otherRegionInterval = std::chrono::seconds(15);
        int missedDigests = 3; ///< Intervals without a digest after which a domain is unreachable.
        /// Between digests with all records, which repair gossip losses.
        base::duration resendInterval = std::chrono::minutes(10);
    };

    /// A digest to send.
    struct outgoing_digest {
        std::string to;
        membership_message message;
    };

    domain_exchange(const member& self, const member_table& table, const base::clock& time, options opts);

    /// Returns the due digests if this process is a delegate.
    std::vector<outgoing_digest> dueDigests();

    /// Makes all digests due immediately, for changes that must not wait for the next interval.
    void makeAllDue();

    /// Handles a digest whose records have been merged.
    void handleDigest(const membership_message& digest);

    /// Merges the summary of a domain. Returns true if it was newer than the known one.
    bool merge(const domain_summary& summary);

    /// Checks when the last digest of each other domain was received. Returns the newly unreachable domains.
    std::vector<std::string> checkReachability();

    /// Returns false if the delegates of the own domain consider \a domain unreachable.
    bool isReachable(std::string_view domain) const;

    /// Returns true if this process is a delegate of its domain. Refreshed once per second.
    bool isDelegate() const { return m_isDelegate; }

    /// Recomputes and publishes the summary of the own domain if this process is its first delegate. Returns
    /// true if it changed.
    bool updateOwnSummary(std::uint64_t ownVersion);

    /// Returns up to \a maxCount summaries to piggyback, least often sent first.
    std::vector<domain_summary> piggyback(std::size_t maxCount);

    const std::map<std::string, domain_summary, std::less<>>& summaries() const { return m_summaries; }

private:
    /// Confirmation for a delegate of another domain.
    struct receipt {
        std::uint64_t incarnation = 0;
        std::uint64_t upTo = 0;
    };

    struct peer_domain {
        bool sameRegion = false;
        std::uint64_t confirmed = 0; ///< Last change confirmed by the domain.
        std::uint64_t loadsSent = 0; ///< Last load change sent; loads are not confirmed.
        std::map<std::string, receipt> received; ///< Keyed by the sending delegate.
        base::time_point nextDigest {};
        base::time_point lastReceived {};
        std::size_t rotation = 0;
        base::time_point nextResend {};
        bool declaredUnreachable = false; ///< This process has declared the domain unreachable.
    };

    void refreshPeers();
    domain_summary ownSummary() const;
    void recordContact(const std::string& domain, const std::vector<domain_summary>& summaries);
    void publish(domain_summary summary);
    base::duration interval(const peer_domain& peer) const;
    std::uint64_t addStates(membership_message& message, const peer_domain& peer) const;
    void addLoads(membership_message& message, peer_domain& peer) const;
    outgoing_digest digestFor(peer_domain& peer, const std::vector<std::string>& delegates);

    const member& m_self;
    const member_table& m_table;
    const base::clock& m_clock;
    options m_options;
    std::map<std::string, peer_domain, std::less<>> m_peers;
    std::map<std::string, domain_summary, std::less<>> m_summaries;
    std::map<std::string, unsigned, std::less<>>
        m_pendingSummaries; ///< Summaries to piggyback, with the number of sends.
    std::uint64_t m_stamp = 0;
    bool m_isDelegate = false;
    bool m_isFirst = false; ///< This process is the first of the delegates.
    std::size_t m_rank = 0;
    std::size_t m_delegateCount = 0; ///< Number of delegates of the own domain.
    base::time_point m_nextRefresh {};
};

} // namespace marigold::control
