#include "block_sender.h"

namespace marigold::agent {

namespace {

constexpr auto deliveryCheckInterval = std::chrono::microseconds(500);

/// Larger than any block, so that each transfer is one chunk of the link and its response is written at once.
constexpr std::uint64_t maxChunkBytes = std::uint64_t { 1 } << 30;

} // namespace

block_sender::block_sender(node::fleet_node& node, options opts)
    : m_node(node)
    , m_link({ .time = node.clock(),
          .initialBytesPerSecond = opts.bytesPerSecond,
          .chunkBytes = maxChunkBytes,
          .log = &node.log() })
{
}

void block_sender::send(const node::exchange_ptr& exchange, net::http_response response,
    context::transfer_priority priority, base::duration recomputeTime)
{
    const auto id = m_link.submit({ .priority = priority,
        .bytes = response.body.size(),
        .recomputeTime
        = recomputeTime > base::duration::zero() ? std::optional(recomputeTime) : std::nullopt });
    if (!id)
        return node::replyError(exchange, id.error());
    m_waiting[*id] = { .exchange = exchange, .response = std::move(response) };
    exchange->onClosed([this, id = *id] {
        if (m_waiting.erase(id) > 0)
            m_link.cancel(id);
    });
    sendNext();
}

void block_sender::sendNext()
{
    rejectLate();
    const auto chunk = m_link.nextChunk();
    if (!chunk)
        return;
    const auto found = m_waiting.extract(chunk->id);
    if (found.empty()) {
        m_link.chunkFailed();
        return sendNext();
    }
    m_node.metrics().linkBytes(operate::link_tier::Memory, operate::byte_direction::Sent, chunk->bytes);
    found.mapped().exchange->reply(found.mapped().response);
    awaitDelivery(found.mapped().exchange);
}

void block_sender::awaitDelivery(const node::exchange_ptr& exchange)
{
    m_node.loop().runAfter(deliveryCheckInterval, [this, exchange] {
        if (exchange->pendingBytes() > 0)
            return awaitDelivery(exchange);
        m_link.chunkDone();
        sendNext();
    });
}

void block_sender::rejectLate()
{
    for (const auto& id : m_link.cancelLate()) {
        const auto rejected = m_waiting.extract(id);
        if (!rejected.empty())
            node::replyError(rejected.mapped().exchange,
                { .reason = base::error_reason::DeadlineExceeded,
                    .message = "recomputing the block is faster than sending it" });
    }
}

} // namespace marigold::agent
