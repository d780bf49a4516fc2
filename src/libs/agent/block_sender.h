#pragma once

#include <context/context.h>
#include <node/node.h>

#include <map>
#include <string>

namespace marigold::agent {

/// Sends the blocks of a store over its limited link one at a time by priority. A block that the reader can
/// recompute sooner is rejected.
class block_sender {
public:
    struct options {
        double bytesPerSecond = 200e6; ///< Assumed bandwidth until transfers are measured.
    };

    block_sender(node::fleet_node& node, options opts);

    /// Queues \a response, whose body is a block, as the reply to \a exchange. \a recomputeTime is the time
    /// that the reader needs to compute the block; zero if unknown.
    void send(const node::exchange_ptr& exchange, net::http_response response,
        context::transfer_priority priority, base::duration recomputeTime);

    /// Returns the expected time to send \a bytes more at \a priority.
    base::duration estimate(context::transfer_priority priority, std::uint64_t bytes) const
    {
        return m_link.estimate(priority, std::max<std::uint64_t>(bytes, 1));
    }

    double bytesPerSecond() const { return m_link.bytesPerSecond(); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct waiting_block {
        node::exchange_ptr exchange;
        net::http_response response;
    };

    void sendNext();
    void awaitDelivery(const node::exchange_ptr& exchange);
    void rejectLate();

    node::fleet_node& m_node;
    context::transfer_link m_link;
    std::map<context::transfer_id, waiting_block> m_waiting;
};

} // namespace marigold::agent
