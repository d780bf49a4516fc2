#include "http_block_mover.h"

#include "block_transfer.h"
#include "events.h"

#include <context/context.h>

#include <algorithm>
#include <span>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::agent {

namespace {

std::string checksumOf(std::string_view bytes)
{
    return std::to_string(context::block_checksum::of(std::as_bytes(std::span(bytes.data(), bytes.size()))));
}

} // namespace

struct http_block_mover::private_data {
    /// A load in progress. Blocks are fetched one after the other, since the link is the bottleneck.
    struct load_state {
        protocol::run_request request;
        net::endpoint store;
        std::vector<std::string> names;
        std::size_t next = 0;
        base::time_point deadline;
        std::function<void(int)> done;
    };

    struct save_state {
        protocol::run_request request;
        net::endpoint store;
        std::vector<std::string> names;
        std::size_t next = 0;
    };

    node::fleet_node& node;
    platform::completion_engine& engine;
    options opts;
    std::deque<protocol::run_request> saves;
    bool isSaving = false;
    std::uint64_t bytesLoaded = 0;
    std::uint64_t bytesSaved = 0;
    std::vector<std::function<void()>> flushWaiters;

    void fetchNext(const std::shared_ptr<load_state>& state);
    void blockReceived(const std::shared_ptr<load_state>& state, base::result<net::http_response> answer);
    void saveNext();
    void saveEnded();
    void findFirstMissing(const std::shared_ptr<save_state>& state);
    void exportNext(const std::shared_ptr<save_state>& state);
    void sendBlock(const std::shared_ptr<save_state>& state, std::string content);
};

void http_block_mover::private_data::fetchNext(const std::shared_ptr<load_state>& state)
{
    const auto blockCount
        = std::min(static_cast<std::size_t>(state->request.loadBlocks), state->names.size());
    const base::duration remaining = state->deadline - node.clock().now();
    // After the deadline, recomputing the remaining blocks is faster than loading them.
    if (state->next >= blockCount || remaining <= base::duration::zero())
        return state->done(static_cast<int>(state->next));
    net::http_call call { .to = state->store,
        .target = fmt::format("{}{}", blocksPath, state->request.blockKeys[state->next]),
        .headers = { { std::string(priorityHeader), std::to_string(state->request.priority) },
            { std::string(recomputeHeader), std::to_string(remaining.count()) } },
        .timeout = remaining };
    node.peers().send(std::move(call),
        [this, state](base::result<net::http_response> answer) { blockReceived(state, std::move(answer)); });
}

void http_block_mover::private_data::blockReceived(
    const std::shared_ptr<load_state>& state, base::result<net::http_response> answer)
{
    if (!answer || answer->status != 200)
        return state->done(static_cast<int>(state->next));
    if (answer->headers.find(checksumHeader) != checksumOf(answer->body)) {
        node.log().write(events::blockRefused, { { "store", state->store.text() } });
        return state->done(static_cast<int>(state->next));
    }
    bytesLoaded += answer->body.size();
    node.metrics().linkBytes(
        operate::link_tier::Memory, operate::byte_direction::Received, answer->body.size());
    engine.importBlock(state->names[state->next], std::move(answer->body),
        [this, state](const base::result<void>& imported) {
            if (!imported)
                return state->done(static_cast<int>(state->next));
            ++state->next;
            fetchNext(state);
        });
}

void http_block_mover::private_data::saveNext()
{
    if (isSaving || saves.empty())
        return;
    isSaving = true;
    const auto state = std::make_shared<save_state>();
    state->request = std::move(saves.front());
    saves.pop_front();
    const auto store = net::endpoint::parse(state->request.saveTo);
    if (!store || state->request.blockKeys.empty())
        return saveEnded();
    state->store = *store;
    engine.chain(state->request.cacheSalt, state->request.prompt,
        [this, state](base::result<platform::engine_chain> chain) {
            if (!chain || chain->blocks.empty())
                return saveEnded();
            state->names = std::move(chain->blocks);
            findFirstMissing(state);
        });
}

void http_block_mover::private_data::findFirstMissing(const std::shared_ptr<save_state>& state)
{
    const nlohmann::json body { { "keys", state->request.blockKeys }, { "record", false } };
    node.peers().send({ .to = state->store,
                          .method = "POST",
                          .target = std::string(lookupPath),
                          .body = body.dump(),
                          .timeout = std::chrono::seconds(1) },
        [this, state](const base::result<net::http_response>& answer) {
            const auto value = answer && answer->status == 200
                ? nlohmann::json::parse(answer->body, nullptr, false)
                : nlohmann::json();
            if (!value.is_object() || !value.contains("held") || !value["held"].is_number_unsigned())
                return saveEnded();
            state->next = value["held"].get<std::size_t>();
            exportNext(state);
        });
}

void http_block_mover::private_data::exportNext(const std::shared_ptr<save_state>& state)
{
    if (state->next >= std::min(state->request.blockKeys.size(), state->names.size()))
        return saveEnded();
    engine.exportBlock(state->names[state->next], [this, state](base::result<std::string> content) {
        // The engine may have evicted the block; the blocks that follow it are useless without it.
        if (!content)
            return saveEnded();
        sendBlock(state, std::move(*content));
    });
}

void http_block_mover::private_data::sendBlock(const std::shared_ptr<save_state>& state, std::string content)
{
    const std::size_t bytes = content.size();
    net::http_headers headers { { std::string(checksumHeader), checksumOf(content) },
        { std::string(teamHeader), state->request.team },
        { std::string(positionHeader), std::to_string(state->next) } };
    if (state->next > 0)
        headers.add(std::string(parentHeader), state->request.blockKeys[state->next - 1]);
    net::http_call call { .to = state->store,
        .method = "PUT",
        .target = fmt::format("{}{}", blocksPath, state->request.blockKeys[state->next]),
        .headers = std::move(headers),
        .body = std::move(content),
        .timeout = std::chrono::seconds(10) };
    node.peers().send(std::move(call), [this, state, bytes](const base::result<net::http_response>& answer) {
        constexpr int statusAlreadyHeld = 409;
        if (!answer || (answer->status != 200 && answer->status != statusAlreadyHeld))
            return saveEnded();
        bytesSaved += bytes;
        node.metrics().linkBytes(operate::link_tier::Memory, operate::byte_direction::Sent, bytes);
        ++state->next;
        exportNext(state);
    });
}

void http_block_mover::private_data::saveEnded()
{
    isSaving = false;
    if (!saves.empty())
        return saveNext();
    for (const auto& waiter : std::exchange(flushWaiters, {}))
        waiter();
}

http_block_mover::http_block_mover(node::fleet_node& node, platform::completion_engine& engine, options opts)
    : d(new private_data { .node = node, .engine = engine, .opts = opts, .saves = {}, .flushWaiters = {} })
{
}

http_block_mover::~http_block_mover() = default;

void http_block_mover::load(const protocol::run_request& request, std::function<void(int blocks)> done)
{
    const auto store = net::endpoint::parse(request.loadFrom);
    if (!store)
        return done(0);
    const auto state = std::make_shared<private_data::load_state>();
    state->request = request;
    state->store = *store;
    state->done = std::move(done);
    const double recompute = static_cast<double>(request.loadBlocks)
        * static_cast<double>(d->opts.blockTokens) / d->opts.prefillTokensPerSecond;
    const auto limit = std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(recompute));
    state->deadline = d->node.clock().now() + std::max(limit, d->opts.minimumLoadTime);
    d->engine.chain(
        request.cacheSalt, request.prompt, [this, state](base::result<platform::engine_chain> chain) {
            if (!chain)
                return state->done(0);
            state->names = std::move(chain->blocks);
            state->next = static_cast<std::size_t>(std::max(0, chain->cachedBlocks));
            d->fetchNext(state);
        });
}

void http_block_mover::save(const protocol::run_request& request)
{
    if (d->saves.size() >= d->opts.maxQueuedSaves)
        return;
    d->saves.push_back(request);
    d->saveNext();
}

void http_block_mover::flush(std::function<void()> done)
{
    if (!d->isSaving && d->saves.empty())
        return done();
    d->flushWaiters.push_back(std::move(done));
}

std::size_t http_block_mover::queuedSaves() const
{
    return d->saves.size();
}

std::uint64_t http_block_mover::bytesLoaded() const
{
    return d->bytesLoaded;
}

std::uint64_t http_block_mover::bytesSaved() const
{
    return d->bytesSaved;
}

} // namespace marigold::agent
