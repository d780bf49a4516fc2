#include "store_role.h"

#include "block_sender.h"
#include "block_store.h"
#include "block_transfer.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::agent {

namespace {

constexpr auto expireInterval = std::chrono::seconds(1);

/// Maximum number of blocks in one lookup. A prompt of a million tokens has about a thousand.
constexpr std::size_t maxLookupKeys = 4096;

std::optional<context::block_key> parseKey(std::string_view text)
{
    const auto digest = base::digest128FromHex(text);
    if (!digest)
        return std::nullopt;
    return context::block_key(*digest);
}

} // namespace

struct store_role::private_data {
    node::fleet_node& node;
    work_gate& gate;
    const agent_settings& settings;
    block_store blocks;
    block_sender sender;

    private_data(node::fleet_node& node, work_gate& gate, const agent_settings& settings);

    void lookUp(const node::exchange_ptr& exchange);
    void read(const node::exchange_ptr& exchange);
    void write(const node::exchange_ptr& exchange);
};

store_role::private_data::private_data(
    node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : node(node)
    , gate(gate)
    , settings(settings)
    , blocks({ .time = node.clock(),
          .memoryBytes = static_cast<std::uint64_t>(settings.memoryBytes),
          .diskBytes = static_cast<std::uint64_t>(settings.diskBytes),
          .epoch = static_cast<std::uint64_t>(node.clock().wallNow().time_since_epoch().count()),
          .seed = node.random().next(),
          .log = &node.log() })
    , sender(node, { .bytesPerSecond = settings.linkBytesPerSecond })
{
}

void store_role::private_data::lookUp(const node::exchange_ptr& exchange)
{
    const auto value = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!value.is_object() || !value.contains("keys") || !value["keys"].is_array()
        || value["keys"].size() > maxLookupKeys)
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "keys are missing, or there are too many",
                .field = "keys" });
    std::vector<context::block_key> chain;
    for (const auto& item : value["keys"]) {
        const auto key = item.is_string() ? parseKey(item.get_ref<const std::string&>()) : std::nullopt;
        if (!key)
            return node::replyError(exchange,
                { .reason = base::error_reason::InvalidRequest,
                    .message = "each key must consist of 32 hexadecimal digits",
                    .field = "keys" });
        chain.push_back(*key);
    }
    // Agents also look blocks up before saving; only a lookup for a request of a caller counts as a repeated
    // use.
    const bool isReturn = value.contains("team") && value["team"].is_string();
    const auto held
        = isReturn ? blocks.recordUse(value["team"].get<std::string>(), chain) : blocks.lookUp(chain);
    const auto transfer = sender.estimate(context::transfer_priority::Normal, held.bytes);
    node::replyJson(exchange, 200,
        nlohmann::json {
            { "held", held.count }, { "bytes", held.bytes }, { "transfer_us", transfer.count() } }
            .dump());
}

void store_role::private_data::read(const node::exchange_ptr& exchange)
{
    const auto key = parseKey(exchange->path().substr(blocksPath.size()));
    if (!key)
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "the key must consist of 32 hexadecimal digits",
                .field = "key" });
    auto block = blocks.read(*key);
    if (!block)
        return node::replyError(exchange, block.error());
    const auto recompute = base::duration(
        static_cast<std::int64_t>(parseNumber(exchange->header(recomputeHeader).value_or("")).value_or(0)));
    const auto priority = static_cast<context::transfer_priority>(
        std::min<std::uint64_t>(parseNumber(exchange->header(priorityHeader).value_or("")).value_or(1), 3));
    sender.send(exchange,
        { .headers = { { "Content-Type", "application/octet-stream" },
              { std::string(checksumHeader), std::to_string(block->checksum) } },
            .body = std::move(block->content) },
        priority, recompute);
}

void store_role::private_data::write(const node::exchange_ptr& exchange)
{
    const auto key = parseKey(exchange->path().substr(blocksPath.size()));
    const auto checksum = parseNumber(exchange->header(checksumHeader).value_or(""));
    const auto position = parseNumber(exchange->header(positionHeader).value_or(""));
    const auto parent = parseKey(exchange->header(parentHeader).value_or(""));
    if (!key || !checksum || !position || exchange->body().empty())
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "key, checksum, position or content is missing",
                .field = "X-Checksum" });
    const auto work = gate.enter("store block");
    if (!work)
        return node::replyError(exchange, work.error());
    gate.leave(*work);
    const auto stored = blocks.write({ .team = std::string(exchange->header(teamHeader).value_or("")),
        .key = *key,
        .parent = parent.value_or(context::block_key()),
        .position = static_cast<std::uint16_t>(std::min<std::uint64_t>(*position, UINT16_MAX)),
        .content = exchange->body(),
        .checksum = *checksum });
    if (!stored)
        return node::replyError(exchange, stored.error());
    node.metrics().linkBytes(
        operate::link_tier::Memory, operate::byte_direction::Received, exchange->body().size());
    node::replyJson(exchange, 200, "{}");
}

store_role::store_role(node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : d(std::make_unique<private_data>(node, gate, settings))
{
}

store_role::~store_role() = default;

void store_role::start()
{
    auto& router = d->node.router();
    auto& peers = d->node.peers();
    router.add("POST", std::string(lookupPath),
        peers.authenticated([this](const auto& exchange) { d->lookUp(exchange); }));
    router.add("GET", std::string(blocksPath),
        peers.authenticated([this](const auto& exchange) { d->read(exchange); }));
    router.add("PUT", std::string(blocksPath),
        peers.authenticated([this](const auto& exchange) { d->write(exchange); }));
    d->node.loop().runEvery(expireInterval, [this] { d->blocks.expire(); });
}

void store_role::configChanged(const control::config_content&) { }

void store_role::memberChanged(const control::member&) { }

protocol::agent_load store_role::load() const
{
    const auto usage = d->blocks.pool().usage(context::block_tier::Memory);
    constexpr std::uint64_t megabyte = 1 << 20;
    return { .running = static_cast<int>((usage.capacityBytes - usage.freeBytes) / megabyte),
        .bound = static_cast<int>(usage.capacityBytes / megabyte) };
}

int store_role::rampStep() const
{
    return fullRampStep;
}

std::string store_role::describe() const
{
    const auto memory = d->blocks.pool().usage(context::block_tier::Memory);
    const auto disk = d->blocks.pool().usage(context::block_tier::Disk);
    const auto& counts = d->blocks.counts();
    return fmt::format(
        R"({{"kind":"store","blocks":{},"memory_free":{},"memory_capacity":{},"disk_free":{},"disk_capacity":{},"reads":{},"refused_reads":{},"writes":{},"evicted":{},"moved_down":{},"link_bytes_per_second":{:.0f},"link_waiting":{}}})",
        d->blocks.pool().blocks(), memory.freeBytes, memory.capacityBytes, disk.freeBytes, disk.capacityBytes,
        counts.reads, counts.refusedReads, counts.writes, counts.evicted, counts.movedDown,
        d->sender.bytesPerSecond(), d->sender.waiting());
}

} // namespace marigold::agent
