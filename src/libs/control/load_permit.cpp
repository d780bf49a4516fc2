#include "load_permit.h"

#include "events.h"
#include "json_reader.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace marigold::control {

namespace {

using base::error_reason;
using platform::kv_entry;

constexpr std::string_view prefix = "loads/";
constexpr std::size_t maxSlots = 1024;
constexpr std::size_t nonceBytes = 8;
constexpr int renewalsPerLease = 3;

struct slot_value {
    bool held = false;
    std::string target;
    std::string nonce;
};

/// Decodes the value of a slot. A malformed value counts as held by an unknown target, so that the slot is
/// only taken over after a check.
slot_value decodeSlot(std::string_view text)
{
    const auto value = detail::parseJson(text);
    if (!value)
        return { .held = true };
    try {
        detail::object_reader reader(*value, "");
        return {
            .held = reader.flag("held"), .target = reader.text("target"), .nonce = reader.text("nonce")
        };
    } catch (const detail::field_error&) {
        return { .held = true };
    }
}

std::optional<std::uint64_t> slotNumber(std::string_view key)
{
    const auto digits = key.substr(key.rfind('/') + 1);
    std::uint64_t slot = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), slot);
    if (problem != std::errc() || end != digits.data() + digits.size())
        return {};
    return slot;
}

} // namespace

load_permit::load_permit(platform::kv_store& store, base::scheduler& timers, const base::clock& time,
    base::random_source& random, const base::event_log& log, predecessor_check check, options opts)
    : m_store(store)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_log(log)
    , m_check(std::move(check))
    , m_options(std::move(opts))
    , m_lease(time, m_options.timing)
{
}

std::string load_permit::keyOf(std::uint64_t slot) const
{
    return fmt::format("{}{}/{:04}", prefix, m_options.store, slot);
}

std::string load_permit::valueOf(bool held, const std::string& nonce) const
{
    return nlohmann::json({ { "held", held }, { "target", m_options.target }, { "nonce", nonce } }).dump();
}

void load_permit::acquire(std::uint64_t bound, std::function<void(std::uint64_t)> done)
{
    release();
    m_bound = bound;
    m_done = std::move(done);
    m_observedSlots.clear();
    poll(m_round);
}

void load_permit::release()
{
    if (isHeld())
        freeSlot(m_slot, m_revision);
    abandon();
}

void load_permit::abandon()
{
    ++m_round;
    m_token = 0;
    m_done = {};
    m_lease.end();
}

/// Frees a slot. A lost reply needs no retry, because the slot expires.
void load_permit::freeSlot(std::uint64_t slot, std::uint64_t revision)
{
    m_store.put({ .key = keyOf(slot), .value = valueOf(false, "free"), .expectedRevision = revision },
        [](const base::result<std::uint64_t>&) {});
}

void load_permit::pollLater(std::uint64_t round)
{
    // Jitter keeps the waiting agents of a rollout from polling simultaneously.
    const auto interval = m_options.pollInterval.count();
    m_timers.runAfter(
        base::duration(interval / 2 + static_cast<std::int64_t>(m_random.below(interval))), [this, round] {
            if (round == m_round)
                poll(round);
        });
}

void load_permit::poll(std::uint64_t round)
{
    m_store.range(fmt::format("{}{}/", prefix, m_options.store), "", maxSlots,
        [this, round](const base::result<std::vector<kv_entry>>& answer) {
            if (round != m_round)
                return;
            if (!answer)
                return pollLater(round);
            examine(round, *answer);
        });
}

void load_permit::examine(std::uint64_t round, const std::vector<kv_entry>& slots)
{
    std::map<std::uint64_t, const kv_entry*> present;
    std::uint64_t held = 0;
    for (const auto& entry : slots)
        // The prefix also matches stores whose name starts with this store's name and a slash.
        if (const auto slot = slotNumber(entry.key); slot && entry.key == keyOf(*slot)) {
            present[*slot] = &entry;
            held += decodeSlot(entry.value).held ? 1 : 0;
        }
    // Holders of slots above a lowered bound count too.
    const std::uint64_t first = m_random.below(m_bound);
    for (std::uint64_t i = 0; i < m_bound && held < m_bound; ++i) {
        const std::uint64_t slot = (first + i) % m_bound;
        const auto found = present.find(slot);
        if (found == present.end())
            return takeSlot(round, slot, 0);
        if (!decodeSlot(found->second->value).held)
            return takeSlot(round, slot, found->second->revision);
    }
    for (const auto& [slot, entry] : present)
        if (slot < m_bound && checkHeldSlot(round, slot, *entry))
            return;
    pollLater(round);
}

/// Queries the target of the holder if the slot has expired. Returns true if a query was started; its reply
/// continues the round.
bool load_permit::checkHeldSlot(std::uint64_t round, std::uint64_t slot, const kv_entry& entry)
{
    const auto value = decodeSlot(entry.value);
    auto& observed = m_observedSlots[slot];
    const auto now = m_clock.now();
    if (observed.revision != entry.revision)
        observed = { .revision = entry.revision, .since = now };
    // A slot held by this target itself predates a restart: the previous process has ended, and so has its
    // lease.
    const bool expired
        = value.target == m_options.target || now - observed.since >= m_options.timing.timeToLive;
    if (!value.held || !expired)
        return false;
    m_check(value.target, [this, round, slot, revision = entry.revision, value](predecessor_state state) {
        if (round != m_round)
            return;
        if (state != predecessor_state::Idle && state != predecessor_state::VmRemoved) {
            m_observedSlots[slot].since = m_clock.now(); // Queries again after another lease time.
            return pollLater(round);
        }
        m_log.write(events::slotTakenOver,
            { { "store", m_options.store }, { "slot", std::to_string(slot) },
                { "predecessor", value.target } });
        takeSlot(round, slot, revision);
    });
    return true;
}

void load_permit::takeSlot(std::uint64_t round, std::uint64_t slot, std::uint64_t expectedRevision)
{
    const auto sentAt = m_clock.now();
    m_nonce = m_random.hex(nonceBytes);
    m_store.put({ .key = keyOf(slot), .value = valueOf(true, m_nonce), .expectedRevision = expectedRevision },
        [this, round, slot, sentAt, nonce = m_nonce](const base::result<std::uint64_t>& answer) {
            if (answer)
                return slotTaken(round, slot, sentAt, *answer);
            if (answer.error().verdict != base::verdict::NotRun)
                return resolveLostWrite(round, slot, sentAt, nonce);
            if (round == m_round)
                pollLater(round);
        });
}

void load_permit::resolveLostWrite(
    std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::string nonce)
{
    m_store.get(keyOf(slot), [this, round, slot, sentAt, nonce = std::move(nonce)](const auto& answer) {
        if (answer && *answer && decodeSlot((*answer)->value).nonce == nonce)
            return slotTaken(round, slot, sentAt, (*answer)->revision);
        if (round == m_round)
            pollLater(round);
    });
}

void load_permit::slotTaken(
    std::uint64_t round, std::uint64_t slot, base::time_point sentAt, std::uint64_t revision)
{
    if (round != m_round)
        return freeSlot(slot, revision);
    m_lease.confirm(sentAt);
    if (!m_lease.isValid()) {
        freeSlot(slot, revision);
        return pollLater(round);
    }
    m_slot = slot;
    m_token = m_revision = revision;
    renewLater(round);
    if (auto done = std::exchange(m_done, {}))
        done(m_token);
}

void load_permit::renewLater(std::uint64_t round)
{
    m_timers.runAfter(m_options.timing.timeToLive / renewalsPerLease, [this, round] {
        if (round == m_round && m_lease.isValid())
            renew(round);
    });
}

/// Renews the lease. The token stays that of the write that acquired the slot.
void load_permit::renew(std::uint64_t round)
{
    const auto sentAt = m_clock.now();
    m_store.put({ .key = keyOf(m_slot), .value = valueOf(true, m_nonce), .expectedRevision = m_revision },
        [this, round, sentAt](const base::result<std::uint64_t>& answer) {
            if (round != m_round)
                return;
            if (answer)
                return slotRenewed(round, sentAt, *answer);
            // A conflict may stem from an earlier write of this process whose reply was lost.
            confirmRenewal(round, sentAt);
        });
}

void load_permit::confirmRenewal(std::uint64_t round, base::time_point sentAt)
{
    m_store.get(keyOf(m_slot), [this, round, sentAt](const auto& answer) {
        if (round != m_round)
            return;
        if (!answer)
            return renewLater(round);
        const bool isOwn = *answer && decodeSlot((*answer)->value).nonce == m_nonce;
        if (!isOwn)
            return m_lease.end();
        const bool written = (*answer)->revision > m_revision;
        m_revision = (*answer)->revision;
        if (written)
            m_lease.confirm(sentAt);
        renewLater(round);
    });
}

void load_permit::slotRenewed(std::uint64_t round, base::time_point sentAt, std::uint64_t revision)
{
    m_revision = revision;
    m_lease.confirm(sentAt);
    renewLater(round);
}

} // namespace marigold::control
