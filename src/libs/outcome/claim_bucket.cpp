#include "claim_bucket.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigold::outcome {

namespace {

using base::error_reason;
using base::verdict;

base::error running(const claim_limits& limits)
{
    return { .verdict = verdict::MayHaveRun,
        .reason = error_reason::Conflict,
        .message = "a call with this idempotency key is running",
        .retryAfter = limits.retryAfter };
}

base::error unknownResult()
{
    return { .verdict = verdict::MayHaveRun,
        .reason = error_reason::Unavailable,
        .message = "a call with this idempotency key was made and its result is unknown" };
}

base::error keyReused()
{
    return { .verdict = verdict::NotRun,
        .reason = error_reason::KeyReused,
        .message = "this idempotency key was used for another request",
        .field = "Idempotency-Key" };
}

base::error corruptValue()
{
    return { .verdict = verdict::NotRun,
        .reason = error_reason::Internal,
        .message = "the stored claims for keys created in this period cannot be read" };
}

base::error bucketFull(const claim_limits& limits)
{
    return { .verdict = verdict::NotRun,
        .reason = error_reason::Overloaded,
        .message = "too many calls with keys created in this period; retry with a new key",
        .retryAfter = limits.retryAfter };
}

base::error keyExpired()
{
    return { .verdict = verdict::NotRun,
        .reason = error_reason::InvalidRequest,
        .message = "key_expired: the idempotency key expired before the call was sent",
        .field = "Idempotency-Key" };
}

base::error deadlinePassed()
{
    return { .verdict = verdict::NotRun,
        .reason = error_reason::DeadlineExceeded,
        .message = "the deadline passed before the claim was stored" };
}

/// Like std::erase_if, but the predicate may modify the elements, as settling a claim does.
template <typename Map, typename Predicate> void eraseMutableIf(Map& map, const Predicate& predicate)
{
    for (auto it = map.begin(); it != map.end();)
        it = predicate(*it) ? map.erase(it) : std::next(it);
}

base::result<claim_outcome> doneOutcome(std::shared_ptr<const stored_answer> answer)
{
    if (answer)
        return claim_outcome { .ticket = {}, .answer = std::move(answer) };
    return tl::unexpected(base::error { .verdict = verdict::Ran,
        .reason = error_reason::Conflict,
        .message = "a call with this idempotency key ran; its answer was not stored" });
}

} // namespace

claim_bucket::claim_bucket(std::uint64_t bucket, std::uint32_t shard, bool assumeAbsent)
    : m_bucket(bucket)
    , m_shard(shard)
    , m_assumeAbsent(assumeAbsent)
{
}

void claim_bucket::add(const environment& env, const base::digest128& key, own_claim claim)
{
    m_lastUsed = claim.arrived;
    const auto it = m_ownClaims.find(key);
    if (it == m_ownClaims.end())
        m_ownClaims.emplace(key, std::move(claim));
    else
        completeFromOwnClaim(env, it->second, claim);
}

void claim_bucket::completeFromOwnClaim(const environment& env, own_claim& earlier, own_claim& claim) const
{
    if (earlier.request != claim.request)
        return env.complete(std::move(claim.done), tl::unexpected(keyReused()));
    switch (earlier.phase) {
    case claim_phase::Waiting:
    case claim_phase::Granted:
        return env.complete(std::move(claim.done), tl::unexpected(running(env.limits)));
    case claim_phase::Finished:
        return env.complete(std::move(claim.done), doneOutcome(earlier.answer));
    case claim_phase::ResultUnknown:
        return env.complete(std::move(claim.done), tl::unexpected(unknownResult()));
    case claim_phase::Unsent:
        break;
    }
    // The earlier call was not sent, so this call reuses its claim. `settle` grants it immediately only if no
    // release of that claim can still take effect.
    earlier.phase = claim_phase::Waiting;
    earlier.arrived = claim.arrived;
    earlier.deadline = claim.deadline;
    earlier.done = std::move(claim.done);
}

own_claim* claim_bucket::findGranted(const claim_ticket& ticket)
{
    const auto it = m_ownClaims.find(ticket.key);
    if (it == m_ownClaims.end() || it->second.nonce != ticket.nonce
        || it->second.phase != claim_phase::Granted)
        return nullptr;
    return &it->second;
}

bool claim_bucket::observe(const std::optional<platform::kv_entry>& entry, base::time_point started)
{
    m_readNeeded = m_readBeforeWrite = m_assumeAbsent = false;
    m_storedAsOf = started;
    m_revision = entry ? entry->revision : 0;
    // A compare-and-swap on a superseded revision can no longer take effect.
    if (m_lostWriteRevision && *m_lostWriteRevision != m_revision)
        m_lostWriteRevision.reset();
    m_storedValue = entry ? claim_value::decode(entry->value) : claim_value();
    m_corrupt = !m_storedValue;
    return !m_corrupt;
}

const claim_record* claim_bucket::storedRecord(const base::digest128& key) const
{
    return m_storedValue ? m_storedValue->find(key) : nullptr;
}

bool claim_bucket::isForeignClaim(const own_claim_map::value_type& item) const
{
    const claim_record* record = storedRecord(item.first);
    return record && record->state == claim_state::Claimed && record->nonce != item.second.nonce;
}

bool claim_bucket::isStoredClaim(const own_claim_map::value_type& item) const
{
    const claim_record* record = storedRecord(item.first);
    return record && record->state == claim_state::Claimed && record->nonce == item.second.nonce;
}

void claim_bucket::settle(const environment& env, base::time_point now, base::wall_time wallNow)
{
    eraseMutableIf(m_ownClaims, [&](own_claim_map::value_type& item) {
        if (item.second.phase == claim_phase::Waiting && settleWaiting(env, item, now, wallNow))
            return true;
        return isSettled(item);
    });
}

bool claim_bucket::settleWaiting(const environment& env, own_claim_map::value_type& item,
    base::time_point now, base::wall_time wallNow) const
{
    const own_claim& claim = item.second;
    if (now >= claim.deadline)
        return refuse(env, item, deadlinePassed());
    if (m_corrupt)
        return m_storedAsOf >= claim.arrived && refuse(env, item, corruptValue());
    if (isStoredClaim(item))
        return hasNoOutstandingWrite() && grant(env, item, wallNow);
    return settleForeign(env, item);
}

bool claim_bucket::settleForeign(const environment& env, own_claim_map::value_type& item) const
{
    const claim_record* record = storedRecord(item.first);
    own_claim& claim = item.second;
    if (!record || record->state == claim_state::Released)
        return false;
    const bool sameRequest = record->request == claim.request;
    // Done is final, but a claim may have been released since the last read.
    if (record->state == claim_state::Claimed && m_storedAsOf < claim.arrived)
        return false;
    if (!sameRequest)
        env.complete(std::move(claim.done), tl::unexpected(keyReused()));
    else if (record->state == claim_state::Done)
        env.complete(std::move(claim.done), doneOutcome(record->answer));
    else if (!m_storedValue->claimerOf(*record).empty() && env.isAlive(m_storedValue->claimerOf(*record)))
        env.complete(std::move(claim.done), tl::unexpected(running(env.limits)));
    else
        env.complete(std::move(claim.done), tl::unexpected(unknownResult()));
    return true;
}

bool claim_bucket::grant(
    const environment& env, own_claim_map::value_type& item, base::wall_time wallNow) const
{
    own_claim& claim = item.second;
    if (wallNow - claim.keyCreated > env.limits.window.length + env.limits.grantGrace)
        return refuse(env, item, keyExpired());
    claim.phase = claim_phase::Granted;
    env.complete(std::move(claim.done),
        claim_outcome {
            .ticket = claim_ticket {
                .bucket = m_bucket, .shard = m_shard, .key = item.first, .nonce = claim.nonce } });
    return false;
}

/// Refuses a waiting call. Returns whether the claim can be erased, which holds if it was never part of a
/// write.
bool claim_bucket::refuse(const environment& env, own_claim_map::value_type& item, base::error reason) const
{
    own_claim& claim = item.second;
    env.complete(std::move(claim.done),
        tl::unexpected(isForeignClaim(item) ? running(env.limits) : std::move(reason)));
    claim.phase = claim_phase::Unsent;
    claim.writeDue = claim.arrived;
    return !claim.mayBeStored;
}

bool claim_bucket::isSettled(const own_claim_map::value_type& item) const
{
    const claim_phase phase = item.second.phase;
    if (phase == claim_phase::Waiting || phase == claim_phase::Granted || !m_storedValue
        || !hasNoOutstandingWrite())
        return false;
    if (!isStoredClaim(item))
        return true;
    return phase == claim_phase::ResultUnknown && m_storedValue->claimerOf(*storedRecord(item.first)).empty();
}

void claim_bucket::refuseWaiting(const environment& env, const base::error& reason)
{
    eraseMutableIf(m_ownClaims, [&](own_claim_map::value_type& item) {
        return item.second.phase == claim_phase::Waiting && refuse(env, item, reason);
    });
}

std::optional<platform::kv_write> claim_bucket::plan(const environment& env, std::string key)
{
    claim_value value = m_storedValue ? *m_storedValue : claim_value();
    bool changed = addClaims(env, value);
    bool writeWanted = false;
    for (const auto& item : m_ownClaims) {
        changed = applyChange(env, item, value) || changed;
        writeWanted = writeWanted || wantsWrite(item);
    }
    // After a write with unknown result, even an unchanged value is written: the new revision ensures that
    // the earlier compare-and-swap can no longer succeed.
    if (!changed && !(m_lostWriteRevision && writeWanted))
        return std::nullopt;
    m_plannedRevision = m_storedValue ? m_revision : 0;
    platform::kv_write write {
        .key = std::move(key), .value = value.encode(), .expectedRevision = m_plannedRevision
    };
    m_planned = std::move(value);
    return write;
}

bool claim_bucket::addClaims(const environment& env, claim_value& value)
{
    bool changed = false;
    eraseMutableIf(m_ownClaims, [&](own_claim_map::value_type& item) {
        own_claim& claim = item.second;
        const claim_record* before = value.find(item.first);
        if (claim.phase != claim_phase::Waiting || (before && before->state != claim_state::Released))
            return false;
        claim_record record { .key = item.first, .request = claim.request, .nonce = claim.nonce };
        if (value.encodedBound() + claim_value::encodedBound(record) + env.process.size()
            > env.limits.valueBytes) {
            ++m_refusedAsFull;
            return refuse(env, item, bucketFull(env.limits));
        }
        value.set(std::move(record), env.process);
        claim.mayBeStored = true;
        changed = true;
        return false;
    });
    return changed;
}

bool claim_bucket::applyChange(
    const environment& env, const own_claim_map::value_type& item, claim_value& value) const
{
    const own_claim& claim = item.second;
    if (claim.phase == claim_phase::Waiting || claim.phase == claim_phase::Granted || !isStoredClaim(item))
        return false;
    claim_record record = *value.find(item.first);
    std::string_view claimer = env.process;
    if (claim.phase == claim_phase::ResultUnknown) {
        // A claim without a process yields may_have_run permanently.
        claimer = {};
    } else if (claim.phase == claim_phase::Unsent) {
        record.state = claim_state::Released;
    } else {
        record.state = claim_state::Done;
        record.answer = claim.answer;
        if (value.encodedBound() + claim_value::encodedBound(record) > env.limits.answerValueBytes)
            record.answer = {};
    }
    value.set(std::move(record), claimer);
    return true;
}

void claim_bucket::writeSucceeded(std::uint64_t revision, base::time_point started)
{
    m_storedValue = std::move(m_planned);
    m_planned.reset();
    m_lostWriteRevision.reset();
    m_revision = revision;
    m_storedAsOf = started;
    m_assumeAbsent = m_readNeeded = m_readBeforeWrite = false;
}

void claim_bucket::requireRead()
{
    m_assumeAbsent = false;
    m_readBeforeWrite = true;
}

void claim_bucket::writeConflicted()
{
    m_planned.reset();
    // Read directly before the next write: a value read now would be stale by then if another process writes
    // this shard at the same rate.
    requireRead();
}

void claim_bucket::writeLost()
{
    m_planned.reset();
    m_lostWriteRevision = m_plannedRevision;
    m_assumeAbsent = false;
    m_readNeeded = true;
}

void claim_bucket::writeFailed()
{
    m_planned.reset();
    m_assumeAbsent = false;
}

bool claim_bucket::needsRead() const
{
    return std::any_of(m_ownClaims.begin(), m_ownClaims.end(), [&](const own_claim_map::value_type& item) {
        if (m_readNeeded)
            return true;
        if (item.second.phase != claim_phase::Waiting)
            return false;
        if (!m_storedValue && !m_corrupt)
            return !m_assumeAbsent;
        return m_storedAsOf < item.second.arrived && (m_corrupt || isForeignClaim(item));
    });
}

bool claim_bucket::needsReadBeforeWrite() const
{
    return m_readBeforeWrite || (!m_storedValue && !m_assumeAbsent);
}

bool claim_bucket::wantsWrite(const own_claim_map::value_type& item) const
{
    if (item.second.phase == claim_phase::Granted)
        return false;
    return item.second.phase != claim_phase::Waiting || !isForeignClaim(item);
}

std::optional<base::time_point> claim_bucket::writeDue() const
{
    std::optional<base::time_point> due;
    if (m_corrupt)
        return due;
    for (const auto& item : m_ownClaims) {
        if (!wantsWrite(item))
            continue;
        const bool waiting = item.second.phase == claim_phase::Waiting;
        const base::time_point wanted = waiting ? item.second.arrived : item.second.writeDue;
        due = due ? std::min(*due, wanted) : wanted;
    }
    return due;
}

std::optional<base::time_point> claim_bucket::firstDeadline() const
{
    std::optional<base::time_point> first;
    for (const auto& [key, claim] : m_ownClaims)
        if (claim.phase == claim_phase::Waiting)
            first = first ? std::min(*first, claim.deadline) : claim.deadline;
    return first;
}

bool claim_bucket::hasWaiting() const
{
    return firstDeadline().has_value();
}

void claim_bucket::expediteWrites()
{
    for (auto& [key, claim] : m_ownClaims)
        claim.writeDue = base::time_point::min();
}

bool claim_bucket::isCacheOnly() const
{
    return !m_planned && !m_lostWriteRevision && !m_readNeeded
        && std::all_of(m_ownClaims.begin(), m_ownClaims.end(),
            [](const own_claim_map::value_type& item) { return item.second.phase == claim_phase::Granted; });
}

void claim_bucket::dropCache()
{
    m_storedValue.reset();
    m_assumeAbsent = false;
}

} // namespace marigold::outcome
