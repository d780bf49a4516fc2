#pragma once

#include <relay/store/relay_config.h>

#include <base/base.h>
#include <net/connection_probe.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// A request whose connection was lost before the whole answer was received.
struct lost_request {
    std::string id; ///< Id of the attempt.
    std::vector<std::string> sharedParts = {}; ///< Scoped names of the shared parts of its prompt, in order.
    bool answerBegun = false; ///< The head of the answer was received.
    int events = 0; ///< Whole events of the answer that were received.
};

/// What is known of a target after it has closed a connection.
enum class target_presence {
    Listening,
    Unknown, ///< It can't be reached.
    Ended, ///< Nothing listens at its address, or another run has taken its place.
};

/// Tells the end of a target from the loss of a connection.
///
/// A lost connection is followed by a probe of the target's address. If nothing listens there, or if the
/// registration is removed or replaced soon afterwards, the target has ended.
class target_end_detector {
public:
    struct options {
        /// Time in which the connections of an ended target are noticed as lost, before the probe.
        base::duration settleTime = std::chrono::milliseconds(5);
        base::duration probeTimeout = std::chrono::milliseconds(300);
        /// Delay of the second probe: an ending process may close its listening socket last.
        base::duration secondProbeDelay = std::chrono::milliseconds(100);
        /// Time after a loss in which a changed registration confirms the end of the target.
        base::duration memory = std::chrono::seconds(5);
        /// Requests that are kept for one target; those whose answer had begun last come first.
        std::size_t maxRequests = 4;
    };

    using prober = std::function<void(
        const net::endpoint& address, base::duration timeout, net::connection_probe::handler done)>;
    using ended_handler = std::function<void(const target_registration& target, std::string_view incarnation,
        const std::vector<lost_request>& requests)>;

    target_end_detector(
        base::scheduler& timers, const base::clock& time, prober probe, ended_handler ended, options opts);

    /// Records that \a target closed the connection of \a request.
    void requestLost(const target_registration& target, lost_request request);

    /// Probes whether \a target has ended, since it closed the connection of an answer whose end nothing else
    /// tells. \a done is called once, after one probe. The removal of its registration is no evidence: a
    /// target that leaves without notice goes on serving.
    void checkEnded(const target_registration& target, std::function<void(target_presence found)> done);

    /// Records a registration; a new one at the address of a target confirms that it has ended.
    void targetRegistered(const target_registration& target);
    void targetRemoved(std::string_view id);

    /// Returns the name of one run of \a target: its id with its start time, since a restarted target may
    /// keep its id.
    static std::string incarnationOf(const target_registration& target);

private:
    enum class end_evidence { None, Removed, Ended };
    struct loss {
        target_registration target;
        std::vector<lost_request> requests;
        base::time_point at {};
        int probes = 0;
        end_evidence end = end_evidence::None;
    };

    loss& recordFor(const target_registration& target);
    target_presence presenceOf(std::string_view incarnation, net::probe_result result) const;

    void probe(const std::string& incarnation);
    void probed(const std::string& incarnation, net::probe_result result);
    void confirm(const std::string& incarnation, end_evidence evidence);
    void removeOld();

    base::scheduler& m_timers;
    const base::clock& m_clock;
    prober m_probe;
    ended_handler m_ended;
    options m_options;
    std::map<std::string, loss, std::less<>> m_losses; ///< By incarnation.
};

} // namespace marigold::relay
