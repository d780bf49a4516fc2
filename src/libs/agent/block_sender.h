#pragma once

#include <context/context.h>
#include <node/node.h>

#include <map>
#include <string>

namespace marigold::agent {

/// Sends the blocks of a store over its limited link: by priority, one at a time, and not at all when the
/// reader would compute the block sooner.
class block_sender {
public:
    struct options {
        double bytesPerSecond = 200e6; ///< First assumption about the link.
    };

    block_sender(node::fleet_node& node, options opts);

    /// Queues \a response, whose body is a block, as the answer to \a exchange.
    /// \a recompute is how long the reader would need to compute the block; zero if it did not say.
    void send(const node::exchange_ptr& exchange, net::http_response response,
        context::transfer_priority priority, base::duration recompute);

    /// Expected time to send \a bytes more at \a priority.
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

    void pump();
    void watchDelivery(const node::exchange_ptr& exchange);
    void refuseLate();

    node::fleet_node& m_node;
    context::transfer_link m_link;
    std::map<context::transfer_id, waiting_block> m_waiting;
};

} // namespace marigold::agent
