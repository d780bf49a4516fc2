#include "context_finder.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::entry {

namespace {

constexpr int bytesPerToken = 4;

/// A store that has not replied within this time is treated as a miss, so that recomputation does not wait
/// for it.
constexpr auto lookupTimeout = std::chrono::milliseconds(40);

} // namespace

context_finder::context_finder(
    node::fleet_node& node, target_directory& targets, const entry_settings& settings)
    : m_node(node)
    , m_targets(targets)
    , m_settings(settings)
    , m_hints({ .maximumBytes = static_cast<std::size_t>(settings.hintBytes), .log = &node.log() })
{
}

void context_finder::find(const context::block_scope& scope, std::string_view team, std::string_view prompt,
    std::function<void(base::result<prompt_context>)> done)
{
    const auto found = std::make_shared<prompt_context>();
    auto chain = context::blockKeyChain(scope, prompt, static_cast<std::size_t>(m_settings.blockBytes));
    if (!chain)
        return done(tl::unexpected(chain.error()));
    found->chain = std::move(*chain);
    found->cacheSalt = base::toHex(base::truncate(base::hmacSha256(scope.teamSecret,
        fmt::format("{}/{}/{}/{}", team, scope.model, scope.weightVersion, scope.adapter))));
    if (found->chain.empty())
        return done(std::move(*found));
    const auto hints = m_hints.lookup(found->chain);
    int deepest = 0;
    for (const auto& hint : hints.all()) {
        found->hints.push_back({ .target = hint.target,
            .tokens = static_cast<int>(hint.blocks) * m_settings.blockBytes / bytesPerToken });
        deepest = std::max(deepest, static_cast<int>(hint.blocks));
    }
    queryStores(found, team, std::move(done));
}

void context_finder::queryStores(const std::shared_ptr<prompt_context>& found, std::string_view team,
    std::function<void(base::result<prompt_context>)> done)
{
    const auto stores = m_targets.stores();
    std::vector<context::store_state> states;
    for (const auto& store : stores)
        states.push_back({ .name = store.address,
            .inService = store.isInService,
            .full = store.isFull,
            .loadBytes = store.usedBytes });
    const context::placement placement(states);
    const auto choice = placement.choose(found->chain.front());
    if (choice.write)
        found->saveTo = stores[*choice.write].address;
    if (choice.read.empty())
        return done(std::move(*found));

    nlohmann::json keys = nlohmann::json::array();
    for (const auto& key : found->chain)
        keys.push_back(key.hex());
    const std::string body = nlohmann::json { { "keys", keys }, { "team", team } }.dump();
    const auto pending = std::make_shared<std::size_t>(choice.read.size());
    for (const auto index : choice.read) {
        const std::string address = stores[index].address;
        const auto to = net::endpoint::parse(address).value_or(net::endpoint {});
        m_node.peers().send({ .to = to,
                                .method = "POST",
                                .target = "/agent/blocks/lookup",
                                .body = body,
                                .timeout = lookupTimeout,
                                .connectTimeout = lookupTimeout },
            [this, found, address, pending, done](const base::result<net::http_response>& answer) {
                applyReply(*found, address, answer);
                if (--*pending == 0)
                    done(std::move(*found));
            });
    }
}

void context_finder::applyReply(
    prompt_context& found, const std::string& store, const base::result<net::http_response>& answer) const
{
    const auto value = answer && answer->status == 200 ? nlohmann::json::parse(answer->body, nullptr, false)
                                                       : nlohmann::json();
    if (!value.is_object())
        return;
    const int held = value.value("held", 0);
    if (held <= found.storedBlocks || static_cast<std::size_t>(held) > found.chain.size())
        return;
    found.storedBlocks = held;
    found.storeAddress = store;
    const double assumed = static_cast<double>(held) * static_cast<double>(m_settings.blockContentBytes)
        / m_settings.linkBytesPerSecond;
    constexpr double microsecondsPerSecond = 1e6;
    found.transferTime = base::duration(
        value.value("transfer_us", static_cast<std::int64_t>(assumed * microsecondsPerSecond)));
}

void context_finder::recordServed(std::span<const context::block_key> chain, routing::target_index target)
{
    m_hints.recordAnswer(chain, static_cast<context::target_id>(target));
}

void context_finder::removeTarget(routing::target_index target)
{
    m_hints.removeTarget(static_cast<context::target_id>(target));
}

} // namespace marigold::entry
