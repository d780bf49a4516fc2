#pragma once

#include <control/control.h>

#include <functional>
#include <map>
#include <string>

namespace marigold::testing {

/// In-memory datagram network with loss, duplication, delay (and hence reordering) and partitions.
class datagram_network {
public:
    using receiver = std::function<void(std::string_view)>;

    datagram_network(base::scheduler& timers, std::uint64_t seed)
        : m_timers(timers)
        , m_random(seed)
    {
    }

    double loss = 0;
    double duplication = 0;
    base::duration delay { 1000 }; ///< Minimum delay.
    base::duration jitter { 0 }; ///< Maximum additional delay.
    /// Returns true if a datagram is delivered; if empty, all are.
    std::function<bool(const std::string& from, const std::string& to)> passes;
    std::map<std::string, receiver> receivers; ///< By address; absent if the process is not running.

    void deliver(const std::string& from, const std::string& to, std::string_view bytes)
    {
        for (int copies = m_random.uniform() < duplication ? 2 : 1; copies > 0; --copies) {
            if (m_random.uniform() < loss || (passes && !passes(from, to)))
                continue;
            const auto wait
                = delay + base::duration(static_cast<std::int64_t>(m_random.below(jitter.count() + 1)));
            m_timers.runAfter(wait, [this, to, bytes = std::string(bytes)] {
                if (const auto found = receivers.find(to); found != receivers.end())
                    found->second(bytes);
            });
        }
    }

private:
    base::scheduler& m_timers;
    base::random_source m_random;
};

/// Port of one process to the network.
class network_port final : public control::datagram_port {
public:
    network_port(datagram_network& net, std::string self)
        : m_net(net)
        , m_self(std::move(self))
    {
    }

    void send(const std::string& address, std::string_view bytes) override
    {
        m_net.deliver(m_self, address, bytes);
    }

private:
    datagram_network& m_net;
    std::string m_self;
};

} // namespace marigold::testing
