#pragma once

#include "target_registry.h"

#include <base/base.h>
#include <net/http_types.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marigold::relay {

/// Tells the other processes of the unfinished work of this one, and takes theirs, so that a target that is
/// busy with the requests of one process is not chosen by the others. Digests are hints: a lost one is
/// replaced by the next.
class load_exchange {
public:
    struct options {
        std::string process;
        /// Between two digests while there are few peers.
        base::duration interval = std::chrono::milliseconds(50);
        /// With more peers than this, digests are hints of the general load only and are sent less often.
        std::size_t fewPeers = 12;
        /// Datagrams a second that this process sends to many peers.
        double manyPeersDatagramsPerSecond = 80;
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    load_exchange(target_registry& targets, base::scheduler& timers, sender send, options opts);

    void start();

    /// Takes the addresses of the other processes, by their ids.
    void setPeers(std::map<std::string, net::endpoint> peers);

    /// Takes a datagram of a peer.
    void received(std::string_view bytes);

private:
    void tell();

    target_registry& m_targets;
    base::scheduler& m_timers;
    sender m_send;
    options m_options;
    std::uint64_t m_sequence = 0;
    std::map<std::string, net::endpoint> m_peers;
    std::map<std::string, std::uint64_t, std::less<>> m_lastSequence;
};

} // namespace marigold::relay
