#include "context_hints.h"

#include "events.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::context {

namespace {

// Layout of a holder: the target in the low 16 bits, the source in the next bit, the generation in the
// upper 15 bits.
constexpr unsigned sourceShift = 16;
constexpr unsigned generationShift = 17;
constexpr std::uint16_t maximumGeneration = (1U << 15) - 1;

target_id targetOf(std::uint32_t holder)
{
    return static_cast<target_id>(holder & 0xffffU);
}

/// Returns the tag of the entry of \a key; zero is reserved for empty entries.
std::uint32_t tagOf(const block_key& key)
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(key.low()), 1);
}

} // namespace

context_hints::context_hints(options opts)
    : m_options(opts)
    , m_targets(std::min<std::size_t>(opts.maximumTargets, std::size_t { 1 } << 16))
{
    const std::size_t tableBytes = m_options.maximumBytes - std::min(m_options.maximumBytes, memoryBytes());
    m_sets.resize(std::max<std::size_t>(tableBytes / sizeof(set), 1));
}

std::size_t context_hints::memoryBytes() const
{
    return sizeof *this + m_sets.capacity() * sizeof(set) + m_targets.capacity() * sizeof(target_state);
}

context_hints::set& context_hints::setOf(const block_key& key)
{
    // Multiplication maps 32 uniform bits to [0, sets); a mask would require a power of two.
    const std::uint64_t bits = key.high() >> 32;
    return m_sets[(bits * m_sets.size()) >> 32];
}

std::size_t context_hints::findEntry(const set& entries, std::uint32_t tag) const
{
    const auto found = std::find(entries.tags.begin(), entries.tags.end(), tag);
    return static_cast<std::size_t>(found - entries.tags.begin());
}

void context_hints::moveToFront(set& entries, std::size_t at)
{
    const auto end = static_cast<std::ptrdiff_t>(at);
    std::rotate(entries.tags.begin(), entries.tags.begin() + end, entries.tags.begin() + end + 1);
    std::rotate(entries.holders.begin(), entries.holders.begin() + end, entries.holders.begin() + end + 1);
}

context_hints::holder context_hints::holderOf(target_id target, source from) const
{
    const auto index = static_cast<std::size_t>(from);
    return holder { target } | static_cast<holder>(index << sourceShift)
        | (holder { m_targets[target].generation[index] } << generationShift);
}

bool context_hints::isCurrent(holder value) const
{
    const auto from = static_cast<source>((value >> sourceShift) & 1U);
    return value != 0 && value == holderOf(targetOf(value), from);
}

void context_hints::record(const block_key& key, target_id target, source from)
{
    set& entries = setOf(key);
    const std::uint32_t tag = tagOf(key);
    std::size_t at = findEntry(entries, tag);
    if (at == setSize) {
        at = setSize - 1;
        entries.tags[at] = tag;
        entries.holders[at] = {};
    }
    moveToFront(entries, at);
    auto& holders = entries.holders.front();
    const auto same = std::find_if(holders.begin(), holders.end(),
        [&](holder value) { return isCurrent(value) && targetOf(value) == target; });
    // A holder from an answer takes precedence over one from an event, since event gaps do not invalidate it.
    const bool isFromAnswer = same != holders.end() && *same == holderOf(target, source::Answer);
    const auto unused
        = std::find_if(holders.begin(), holders.end(), [&](holder value) { return !isCurrent(value); });
    const auto slot = same != holders.end() ? same : std::min(unused, holders.end() - 1);
    *slot = holderOf(target, isFromAnswer ? source::Answer : from);
    std::rotate(holders.begin(), slot, slot + 1);
}

void context_hints::recordAnswer(std::span<const block_key> chain, target_id target)
{
    if (target >= m_targets.size())
        return;
    // Recorded from the tail, so that the positions shared by more prompts become the more recently used
    // ones.
    for (std::size_t i = chain.size(); i > 0; --i)
        record(chain[i - 1], target, source::Answer);
}

void context_hints::erase(const block_key& key, target_id target)
{
    set& entries = setOf(key);
    const std::size_t at = findEntry(entries, tagOf(key));
    if (at == setSize)
        return;
    for (holder& value : entries.holders[at])
        if (targetOf(value) == target)
            value = 0;
}

void context_hints::recordEvent(const cache_event& event)
{
    if (event.target >= m_targets.size())
        return;
    target_state& state = m_targets[event.target];
    if (state.hasSequence && event.sequence <= state.lastSequence)
        return;
    if (state.hasSequence && event.sequence != state.lastSequence + 1) {
        invalidateHolders(event.target, source::Event);
        if (m_options.log)
            m_options.log->write(events::cacheEventGap,
                { { "target", fmt::format("{}", event.target) },
                    { "missing", fmt::format("{}", event.sequence - state.lastSequence - 1) } });
    }
    state.hasSequence = true;
    state.lastSequence = event.sequence;
    if (event.kind == cache_event_kind::Stored)
        return record(event.key, event.target, source::Event);
    if (event.kind == cache_event_kind::Removed)
        return erase(event.key, event.target);
    invalidateHolders(event.target, source::Event);
    invalidateHolders(event.target, source::Answer);
}

void context_hints::removeTarget(target_id target)
{
    if (target >= m_targets.size())
        return;
    invalidateHolders(target, source::Event);
    invalidateHolders(target, source::Answer);
    m_targets[target].hasSequence = false;
}

void context_hints::invalidateHolders(target_id target, source from)
{
    std::uint16_t& generation = m_targets[target].generation[static_cast<std::size_t>(from)];
    if (generation < maximumGeneration) {
        ++generation;
        return;
    }
    // The generation counter wraps around, so stale holders must be erased before their generations are
    // reused.
    eraseHolders(target, from);
    generation = 1;
}

void context_hints::eraseHolders(target_id target, source from)
{
    for (set& entries : m_sets)
        for (auto& holders : entries.holders)
            for (holder& value : holders)
                if (targetOf(value) == target && static_cast<source>((value >> sourceShift) & 1U) == from)
                    value = 0;
}

context_hints::lookup_result context_hints::lookup(std::span<const block_key> chain)
{
    lookup_result result;
    for (std::size_t depth = chain.size(); depth > 0 && result.count < result.hints.size(); --depth) {
        set& entries = setOf(chain[depth - 1]);
        const std::size_t at = findEntry(entries, tagOf(chain[depth - 1]));
        if (at == setSize)
            continue;
        moveToFront(entries, at);
        for (const holder value : entries.holders.front()) {
            const auto listed = result.all();
            const bool isNew = isCurrent(value)
                && std::none_of(listed.begin(), listed.end(),
                    [&](const context_hint& hint) { return hint.target == targetOf(value); });
            if (isNew && result.count < result.hints.size())
                result.hints[result.count++]
                    = { .target = targetOf(value), .blocks = static_cast<std::uint32_t>(depth) };
        }
    }
    return result;
}

std::size_t context_hints::positions() const
{
    std::size_t count = 0;
    for (const set& entries : m_sets)
        for (const auto& holders : entries.holders)
            count += std::any_of(
                holders.begin(), holders.end(), [&](holder value) { return isCurrent(value); });
    return count;
}

} // namespace marigold::context
