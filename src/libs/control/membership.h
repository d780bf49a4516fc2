#pragma once

#include "datagram_port.h"
#include "domain_exchange.h"
#include "in_force.h"
#include "member_table.h"
#include "update_queue.h"

#include <platform/platform.h>

#include <functional>
#include <map>

namespace marigold::control {

/// Callbacks of `membership`. Empty functions are not called.
struct membership_listener {
    std::function<void(const member&)> changed = {}; ///< A member was added or changed its state.
    /// A member has a higher configuration version than this process.
    std::function<void(std::uint64_t version, const std::string& id)> higherVersionReceived = {};
    /// This process was paused or removed; the configuration has to be read again.
    std::function<void()> rejoined = {};
};

/// Membership traffic of this process: payload and tag, plus 28 bytes of IP and UDP headers per datagram.
struct membership_traffic {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t refusedDatagrams = 0; ///< Malformed or not authentic.
    double bytesPerSecond = 0; ///< Sent and received, over the last complete second.
};

/// Membership based on SWIM (Das, Gupta and Motivala 2002), with delegates between failure domains
/// (design page, 4.5). A state machine driven by `tick` and `receive`.
class membership {
public:
    struct options {
        base::duration probeInterval = std::chrono::seconds(1);
        /// After this, indirect probes are sent.
        base::duration probeTimeout = std::chrono::milliseconds(300);
        std::size_t indirectProbes = 2;
        std::size_t maxPiggybacked = 8; ///< Records piggybacked on one message.
        /// Suspicion timeout for up to ten members; grows with log10 of the domain's size.
        base::duration baseSuspicionTimeout = std::chrono::seconds(3);
        /// A longer gap between ticks counts as a pause.
        base::duration pauseLimit = std::chrono::seconds(3);
        base::duration tombstoneLifetime = std::chrono::hours(1);
        base::duration loadInterval = std::chrono::seconds(5); ///< Minimum time between announced loads.
        base::duration syncInterval = std::chrono::seconds(30);
        /// Between syncs until the first one found no differences.
        base::duration joinInterval = std::chrono::milliseconds(250);
        std::size_t noticeFanout = 5;
        int maxRequestFailures = 3; ///< Failed requests after which a member is probed immediately.
        base::duration successWindow = std::chrono::seconds(10); ///< Time for which a success counts.
        domain_exchange::options exchange = {};
    };

    membership(member self, datagram_port& port, const message_authenticator& authenticator,
        const base::clock& time, base::random_source& random, const base::event_log& log, options opts);

    void setListener(membership_listener listener) { m_listener = std::move(listener); }

    /// Contacts \a seeds until one of them responds; empty for the first process of a fleet.
    void join(std::vector<std::string> seeds);

    /// Announces immediately that this process is leaving.
    void leave();

    /// Drives all timers; must be called every 100 ms.
    void tick();

    /// Handles a received datagram.
    void receive(std::string_view bytes);

    /// Sets the configuration version of this process. A higher \a version is announced immediately.
    void setConfigVersion(std::uint64_t version);
    void setLoad(const load_summary& load);

    /// Merges the VM list of the platform. `leaving` takes effect immediately; absence from the list only
    /// removes suspect and unreachable members, since the list may lag.
    void mergeVmList(const std::vector<platform::listed_vm>& list);

    /// Records the result of a request to \a id.
    void observeRequest(const std::string& id, bool succeeded);

    /// Returns the state of \a id, taking the reachability of its domain into account.
    member_state stateOf(const std::string& id) const;

    /// Returns true if new work may be sent to \a id. Unreachable members of this region receive work
    /// depending on the results of previous requests; unreachable members of other regions receive none.
    bool mayReceiveWork(const std::string& id) const;

    const member_table& table() const { return m_table; }
    const member& self() const { return m_self; }
    bool isDelegate() const;

    /// Returns the configuration versions of the members.
    in_force_report versionsInForce() const;

    /// Returns true once the table agreed with that of another process, or if there are no seeds.
    bool hasJoined() const { return m_joined; }

    const membership_traffic& traffic() const { return m_traffic; }

private:
    struct probe {
        std::uint32_t sequence = 0;
        std::string target;
        base::time_point started;
        bool indirect = false;
        bool answered = false;
        bool active = false;
    };

    struct relay {
        std::uint32_t sequence = 0; ///< Of the ping sent on behalf of another process.
        std::uint32_t originalSequence = 0;
        std::string requester;
        base::time_point until;
    };

    /// Pings a sample of the domain before a removal.
    struct verification {
        bool active = false;
        base::time_point until;
        std::map<std::uint32_t, std::string> unanswered; ///< Pings without an ack.
        std::size_t sampleSize = 0;
    };

    // membership.cpp
    void send(const std::string& to, membership_message message);
    void handle(const membership_message& message);
    void apply(const member& record, bool direct, bool spread);
    void handleOwnRecord(const member& record);
    void updateTrafficRate(base::time_point now);
    bool checkPause(base::time_point now);
    void rejoin(std::uint64_t incarnation);
    void updateOwnRecord();
    void sendNotices(std::size_t fanout);
    void repeatNotices(base::time_point now);
    void stateChanged(const std::string& id, bool spread);

    // membership_probe.cpp
    void tickProbe(base::time_point now);
    void startProbe(base::time_point now);
    void endProbe(base::time_point now);
    void probeRemoved();
    std::string nextProbeTarget();
    std::vector<std::string> randomMembers(std::size_t count, const std::string& except);
    void handlePing(const membership_message& message);
    void handleAck(const membership_message& message);
    void handlePingRequest(const membership_message& message);
    void suspect(const std::string& id, base::time_point now);
    void tickSuspects(base::time_point now);
    void startVerification(base::time_point now);
    bool endVerification();
    void resolveSuspects(base::time_point now);
    base::duration suspicionTimeout() const;

    // membership_sync.cpp
    void tickSync(base::time_point now);
    void handleSyncRequest(const membership_message& message);
    void handleSyncPage(const membership_message& message);
    void sendPages(const std::string& to, const std::string& domain);

    member m_self;
    datagram_port& m_port;
    const message_authenticator& m_authenticator;
    const base::clock& m_clock;
    base::random_source& m_random;
    const base::event_log& m_log;
    options m_options;
    membership_listener m_listener;
    member_table m_table;
    update_queue m_queue;
    domain_exchange m_exchange;
    membership_traffic m_traffic;

    base::time_point m_lastTick;
    base::time_point m_rateStart;
    std::uint64_t m_rateStartBytes = 0;
    std::uint32_t m_sequence = 0;

    probe m_probe;
    base::time_point m_nextProbe;
    std::vector<std::string> m_probeOrder;
    std::vector<std::string> m_priorityProbes;
    std::vector<relay> m_relays;
    verification m_verification;
    bool m_removalsSuspended = false; ///< Result of the last verification.
    base::time_point m_nextRecheck; ///< When unreachable members are verified again.
    base::time_point m_nextSuspectScan;
    base::time_point m_nextRemovedProbe;

    std::vector<std::string> m_seeds;
    bool m_joined = false;
    base::time_point m_nextSync;
    base::duration m_syncDelay; ///< Doubles with each sync without differences, up to the sync interval.
    base::time_point m_nextLoad;
    int m_announcedLoadClass = -1; ///< Load class announced last; -1 to announce again.
    int m_noticesLeft = 0; ///< Remaining repeats of the notice about the own version.
    base::time_point m_nextNotice;
};

} // namespace marigold::control
