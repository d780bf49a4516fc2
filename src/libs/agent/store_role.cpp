#include "store_role.h"

#include "events.h"

#include <context/context.h>

#include <charconv>
#include <list>
#include <span>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigold::agent {

namespace {

constexpr std::string_view blocksPath = "/agent/blocks/";
constexpr std::string_view checksumHeader = "X-Checksum";
constexpr std::string_view teamHeader = "X-Team";
constexpr auto expireInterval = std::chrono::seconds(1);

/// Blocks of one lookup; a prompt of a million tokens has a thousand.
constexpr std::size_t maxLookupKeys = 4096;

std::optional<context::block_key> keyFrom(std::string_view text)
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
    context::heap_storage memory;
    context::heap_storage disk;
    context::block_pool pool;
    std::list<context::block_key> order; ///< Least recently used last.
    std::unordered_map<context::block_key, std::list<context::block_key>::iterator, context::block_key_hash>
        position;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refusedReads = 0;

    private_data(node::fleet_node& node, work_gate& gate, const agent_settings& settings);

    void lookUp(const node::exchange_ptr& exchange);
    void read(const node::exchange_ptr& exchange);
    void write(const node::exchange_ptr& exchange);
    base::result<context::block_info> store(
        const context::block_key& key, std::string_view team, std::string_view bytes, std::uint64_t checksum);
    bool makeRoom();
    void touch(const context::block_key& key);
    void forget(const context::block_key& key);
};

store_role::private_data::private_data(
    node::fleet_node& node, work_gate& gate, const agent_settings& settings)
    : node(node)
    , gate(gate)
    , settings(settings)
    , memory({ .capacityBytes = static_cast<std::uint64_t>(settings.memoryBytes), .extentBytes = 16 << 10 })
    , disk({ .capacityBytes = static_cast<std::uint64_t>(settings.diskBytes), .extentBytes = 16 << 10 })
    , pool({ .time = node.clock(),
          .memory = memory,
          .disk = disk,
          .epoch = static_cast<std::uint64_t>(node.clock().wallNow().time_since_epoch().count()),
          .freed = [this](const context::block_key& key, std::uint32_t) { forget(key); },
          .log = &node.log() })
{
}

void store_role::private_data::touch(const context::block_key& key)
{
    forget(key);
    order.push_front(key);
    position[key] = order.begin();
}

void store_role::private_data::forget(const context::block_key& key)
{
    const auto found = position.find(key);
    if (found == position.end())
        return;
    order.erase(found->second);
    position.erase(found);
}

void store_role::private_data::lookUp(const node::exchange_ptr& exchange)
{
    const auto value = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!value.is_object() || !value.contains("keys") || !value["keys"].is_array()
        || value["keys"].size() > maxLookupKeys)
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "keys are missing or too many",
                .field = "keys" });
    std::size_t held = 0;
    std::uint64_t bytes = 0;
    for (const auto& item : value["keys"]) {
        const auto key = item.is_string() ? keyFrom(item.get_ref<const std::string&>()) : std::nullopt;
        const auto found = key ? pool.find(*key) : std::nullopt;
        if (!found)
            break;
        ++held;
        bytes += found->length;
    }
    const nlohmann::json answer { { "held", held }, { "bytes", bytes },
        { "link_bytes_per_second", settings.linkBytesPerSecond } };
    node::replyJson(exchange, 200, answer.dump());
}

void store_role::private_data::read(const node::exchange_ptr& exchange)
{
    const auto key = keyFrom(exchange->path().substr(blocksPath.size()));
    if (!key)
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "the key is not 32 hexadecimal digits",
                .field = "key" });
    const auto handle = pool.beginRead(*key);
    if (!handle)
        return node::replyError(exchange, handle.error());
    std::string body;
    context::block_checksum checksum;
    while (body.size() < handle->block.length) {
        const auto piece = pool.read(*handle, body.size());
        if (!piece || piece->empty())
            break;
        checksum.add(*piece);
        body.append(reinterpret_cast<const char*>(piece->data()), piece->size());
    }
    const auto verified = pool.endRead(*handle, body.size(), checksum.value());
    if (!verified) {
        ++refusedReads;
        return node::replyError(exchange, verified.error());
    }
    ++reads;
    touch(*key);
    node.metrics().linkBytes(operate::link_tier::Memory, operate::byte_direction::Sent, body.size());
    exchange->reply({ .headers = { { "Content-Type", "application/octet-stream" },
                          { std::string(checksumHeader), std::to_string(verified->block().checksum) } },
        .body = std::move(body) });
}

base::result<context::block_info> store_role::private_data::store(
    const context::block_key& key, std::string_view team, std::string_view bytes, std::uint64_t checksum)
{
    const context::block_pool::reservation wanted { .team = team, .key = key, .maximumBytes = bytes.size() };
    auto handle = pool.reserve(wanted);
    while (!handle && handle.error().reason == base::error_reason::Overloaded && makeRoom())
        handle = pool.reserve(wanted);
    if (!handle)
        return tl::unexpected(handle.error());
    if (const auto written = pool.write(*handle, 0, std::as_bytes(std::span(bytes.data(), bytes.size())));
        !written) {
        pool.abandon(*handle);
        return tl::unexpected(written.error());
    }
    auto sealed = pool.seal(*handle, bytes.size(), checksum);
    if (!sealed)
        pool.abandon(*handle);
    return sealed;
}

bool store_role::private_data::makeRoom()
{
    for (auto candidate = order.rbegin(); candidate != order.rend(); ++candidate) {
        const context::block_key key = *candidate;
        if (pool.evict(key))
            return true;
    }
    return false;
}

void store_role::private_data::write(const node::exchange_ptr& exchange)
{
    const auto key = keyFrom(exchange->path().substr(blocksPath.size()));
    const auto text = exchange->header(checksumHeader).value_or("");
    std::uint64_t checksum = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), checksum);
    if (!key || parsed.ec != std::errc() || exchange->body().empty())
        return node::replyError(exchange,
            { .reason = base::error_reason::InvalidRequest,
                .message = "key, checksum or content is missing",
                .field = "X-Checksum" });
    const auto work = gate.enter("store block");
    if (!work)
        return node::replyError(exchange, work.error());
    gate.leave(*work);
    const auto sealed = store(*key, exchange->header(teamHeader).value_or(""), exchange->body(), checksum);
    if (!sealed)
        return node::replyError(exchange, sealed.error());
    ++writes;
    touch(*key);
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
    router.add("POST", "/agent/blocks/lookup",
        peers.authenticated([this](const auto& exchange) { d->lookUp(exchange); }));
    router.add("GET", std::string(blocksPath),
        peers.authenticated([this](const auto& exchange) { d->read(exchange); }));
    router.add("PUT", std::string(blocksPath),
        peers.authenticated([this](const auto& exchange) { d->write(exchange); }));
    d->node.loop().runEvery(expireInterval, [this] { d->pool.expire(); });
}

void store_role::configChanged(const control::config_content&) { }

void store_role::memberChanged(const control::member&) { }

protocol::agent_load store_role::load() const
{
    const auto usage = d->pool.usage(context::block_tier::Memory);
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
    const auto memory = d->pool.usage(context::block_tier::Memory);
    const auto disk = d->pool.usage(context::block_tier::Disk);
    return fmt::format(
        R"({{"kind":"store","blocks":{},"memory_free":{},"memory_capacity":{},"disk_free":{},"disk_capacity":{},"reads":{},"writes":{},"refused_reads":{}}})",
        d->pool.blocks(), memory.freeBytes, memory.capacityBytes, disk.freeBytes, disk.capacityBytes,
        d->reads, d->writes, d->refusedReads);
}

} // namespace marigold::agent
