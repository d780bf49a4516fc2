#pragma once

#include "target_registry.h"

#include <base/base.h>
#include <net/http_types.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marigold::relay {

/// Sends the unfinished work of this process to its peers and receives theirs, so that a target that is busy
/// with requests of one process is not chosen by the others. Digests are hints: a lost one is replaced by the
/// next.
class load_exchange {
public:
    struct options {
        std::string process;
        /// Time between two digests while there are few peers.
        base::duration interval = std::chrono::milliseconds(50);
        /// With more peers, digests only give the general load and are sent less often.
        std::size_t maxPeersAtFullRate = 12;
        /// Datagrams per second that this process sends when there are more peers.
        double maxDatagramsPerSecond = 80;
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    load_exchange(target_registry& targets, base::scheduler& timers, sender send, options opts);

    void start();

    /// Sets the addresses of the other processes, by id.
    void setPeers(std::map<std::string, net::endpoint> peers);

    /// Handles a datagram of a peer.
    void received(std::string_view bytes);

private:
    void publish();

    target_registry& m_targets;
    base::scheduler& m_timers;
    sender m_send;
    options m_options;
    std::uint64_t m_sequence = 0;
    std::map<std::string, net::endpoint> m_peers;
    std::map<std::string, std::uint64_t, std::less<>> m_lastSequence;
};

} // namespace marigold::relay
