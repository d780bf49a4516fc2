#pragma once

#include <relay/targets/target_registry.h>

#include <base/base.h>
#include <net/http_types.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Sends the unfinished work of this process to its peers and receives theirs, so that a target that is busy
/// with requests of one process is not chosen by the others. A digest lists only targets that its receiver
/// may use as well. Digests are hints: a lost one is replaced by the next.
class load_exchange {
public:
    struct options {
        std::string process;
        /// Time between two digests to the processes that share targets with this one, if they are few.
        base::duration interval = std::chrono::milliseconds(50);
        /// Datagrams per second to those processes if they are many.
        double maxDatagramsPerSecond = 240;
        /// Datagrams per second to the other processes, with which only the targets of small services are
        /// shared.
        double maxOtherDatagramsPerSecond = 80;
        /// Shortest time between two partial digests. They announce requests as soon as they are sent, so
        /// that a target that has just become free is not chosen by all processes at once.
        base::duration partialInterval = std::chrono::milliseconds(4);
        /// Datagrams per second that announce which targets load weights.
        double maxUrgentDatagramsPerSecond = 2000;
        /// Returns the outcomes of fetches since the last call; may be empty.
        std::function<std::vector<fetch_outcomes>()> takeFetchOutcomes = {};
        /// Called with the outcomes of fetches of a peer; may be empty.
        std::function<void(std::span<const fetch_outcomes>)> fetchOutcomesReceived = {};
        /// Returns the ages of the weight versions that a peer may have missed; may be empty.
        std::function<std::vector<version_age>()> versionAges = {};
        /// Called with the ages that a peer has sent; may be empty.
        std::function<void(std::span<const version_age>)> versionAgesReceived = {};
        /// Sections that other parts of the relay add to all digests but partial ones.
        std::vector<digest_section> sections = {};
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    load_exchange(target_registry& targets, base::scheduler& timers, const base::clock& time, sender send,
        options opts);

    void start();

    /// Sets the addresses of the other processes, by id.
    void setPeers(std::map<std::string, net::endpoint> peers);

    /// Returns the number of processes that share a group of targets with this one.
    std::size_t groupPeers() const { return m_groupPeers.size(); }

    /// Returns true if there are peers and each has accepted a digest that this process sent no longer than
    /// \a maxAge ago, and so counted this process as registered then.
    bool isKnownToAll(base::duration maxAge) const;

    /// Handles a datagram of a peer.
    void received(std::string_view bytes);

private:
    void publish();
    void loadingChanged(const target_record& target);
    void publishUrgent();
    void requestStarted(const target_record& target);
    void publishChanged();
    std::vector<load_digest::entry> entriesFor(
        std::string_view peer, std::span<const target_registry::own_load> loads) const;
    void sendTo(const std::string& peer, load_digest digest);
    std::map<digest_section_id, std::string> sections() const;
    void readSections(const load_digest& digest) const;
    void beginRound();
    base::duration publishInterval() const;
    static base::duration roundTime(std::size_t datagramsPerRound, double perSecond);

    target_registry& m_targets;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    sender m_send;
    options m_options;
    std::uint64_t m_sequence = 0;
    struct round {
        std::uint64_t sequence = 0;
        base::time_point sentAt {};
    };
    std::deque<round> m_rounds; ///< The latest ones, oldest first.
    std::set<std::string> m_urgentPeers; ///< Share a target that has begun or ended to load.
    bool m_urgentScheduled = false;
    std::set<std::string> m_changed; ///< Ids of targets to which requests were sent since the last digest.
    bool m_changedScheduled = false;
    std::map<std::string, net::endpoint> m_peers; ///< All others.
    std::vector<std::string> m_groupPeers; ///< Those that share a group of targets with this process.
    std::vector<std::string> m_otherPeers;
    std::size_t m_nextOther = 0; ///< Next of `m_otherPeers` to which a digest is due.
    double m_otherCredit = 0; ///< Digests that may be sent to `m_otherPeers`, as a fraction.
    std::map<std::string, std::uint64_t, std::less<>> m_lastSequence;
    /// Time of sending of the last digest that a peer has confirmed, by peer.
    std::map<std::string, base::time_point, std::less<>> m_confirmed;
};

} // namespace marigold::relay
