#include "quarantine_exchange.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Larger records reach the others by the store alone.
constexpr std::size_t maxDatagramBytes = 60'000;

/// Returns \a end with no more parts than a record may have; those that were answered lately are left out
/// first.
target_end withinLimit(target_end end)
{
    if (end.parts.size() <= maxRecordParts)
        return end;
    const auto isSound = [&](const std::string& part) {
        return std::ranges::find(end.soundParts, part) != end.soundParts.end();
    };
    std::stable_partition(end.parts.begin(), end.parts.end(), std::not_fn(isSound));
    end.parts.resize(maxRecordParts);
    std::erase_if(end.soundParts,
        [&](const std::string& part) { return std::ranges::find(end.parts, part) == end.parts.end(); });
    return end;
}

} // namespace

quarantine_exchange::quarantine_exchange(part_quarantine& parts, platform::kv_store& store,
    const state_decoder& decoder, base::scheduler& timers, const base::clock& time,
    base::random_source& random, sender send, options opts)
    : m_parts(parts)
    , m_store(store)
    , m_decoder(decoder)
    , m_timers(timers)
    , m_clock(time)
    , m_random(random)
    , m_send(std::move(send))
    , m_options(std::move(opts))
    , m_lease(store)
{
}

void quarantine_exchange::eraRaised(std::uint64_t before)
{
    if (before == 0 && m_appliedPosition == 0)
        return;
    m_parts.postponeTrials(m_clock.now() + m_options.claimPause);
    const std::vector<blocked_part> blocks = m_parts.ownBlocks();
    for (const blocked_part& block : blocks) {
        publishLater(block);
        if (const auto trial = m_ownTrials.find(block.part); trial != m_ownTrials.end())
            publish(trial_start { .part = trial->first, .number = trial->second });
    }
}

void quarantine_exchange::setPeers(std::map<std::string, net::endpoint> peers)
{
    m_peers.clear();
    m_peers.insert(peers.begin(), peers.end());
    m_peers.erase(m_options.process);
}

base::duration quarantine_exchange::randomDelay(base::duration shortest, base::duration longest)
{
    const auto span = static_cast<double>((longest - shortest).count());
    return shortest + base::duration(static_cast<std::int64_t>(span * m_random.uniform()));
}

void quarantine_exchange::targetEnded(const target_end& end)
{
    target_end reported = end;
    reported.soundParts = m_parts.answeredHere(end.parts);
    // A target that ends cuts many streams: these are no evidence against parts that were answered lately,
    // and are told once.
    const bool isRunning = answerStage(end.events) > 0;
    if (isRunning)
        std::erase_if(reported.parts, [&](const std::string& part) {
            return std::ranges::find(reported.soundParts, part) != reported.soundParts.end();
        });
    if (isRunning && reported.parts.empty())
        return;
    reported = withinLimit(std::move(reported));
    if (isRunning) {
        reported.soundParts.clear();
        sendToAll(encodeDatagram({ .process = m_options.process,
            .records = { { .sequence = ++m_sequence, .record = reported } } }));
    } else
        publish(reported);
    m_isOwnEvidence = true;
    m_parts.targetEnded(reported);
    m_isOwnEvidence = false;
}

void quarantine_exchange::partBlocked(const blocked_part& block)
{
    // An operator's block is in the store already, and ends when it is withdrawn there.
    if (std::ranges::any_of(m_operatorBlocks, [&](const auto& item) { return item.second == block.part; }))
        return;
    if (m_isOwnEvidence)
        return publish(block);
    publishLater(block);
}

void quarantine_exchange::publishLater(const blocked_part& block)
{
    if (const auto known = m_unwrittenBlocks.find(block.part); known != m_unwrittenBlocks.end())
        m_timers.cancel(known->second);
    m_unwrittenBlocks[block.part]
        = m_timers.runAfter(randomDelay(m_options.minBlockDelay, m_options.maxBlockDelay), [this, block] {
              m_unwrittenBlocks.erase(block.part);
              const std::vector<blocked_part> blocks = m_parts.blocks();
              if (std::ranges::find(blocks, block.part, &blocked_part::part) != blocks.end())
                  publish(block);
          });
}

void quarantine_exchange::partSound(const sound_part& report)
{
    const auto known = m_pendingSounds.find(report.part);
    if (known != m_pendingSounds.end()) {
        sound_part& pending = known->second.report;
        pending.refutes = pending.refutes || report.refutes;
        pending.stage = std::max(pending.stage, report.stage);
        return;
    }
    const auto factor = static_cast<base::duration::rep>(1 + m_peers.size() / m_options.peersPerSoundDelay);
    const base::duration delay = randomDelay(base::duration::zero(), factor * m_options.maxSoundDelay);
    const base::timer_id timer = m_timers.runAfter(delay, [this, part = report.part] {
        const auto found = m_pendingSounds.find(part);
        const sound_part due = found->second.report;
        m_pendingSounds.erase(found);
        publish(due);
    });
    m_pendingSounds.emplace(report.part, pending_sound { .report = report, .timer = timer });
}

void quarantine_exchange::cancelSound(const sound_part& heard)
{
    const auto found = m_pendingSounds.find(heard.part);
    if (found == m_pendingSounds.end() || found->second.report.stage > heard.stage)
        return;
    m_timers.cancel(found->second.timer);
    m_pendingSounds.erase(found);
}

void quarantine_exchange::publish(quarantine_record record)
{
    if (m_unwritten.size() >= m_options.maxPending)
        m_unwritten.erase(m_unwritten.begin());
    m_unwritten.push_back({ .sequence = ++m_sequence, .record = std::move(record) });
    while (m_unwritten.size() > 1 && pendingParts() > m_options.maxPendingParts)
        m_unwritten.erase(m_unwritten.begin());
    scheduleWrite(base::duration::zero());
    const std::string datagram
        = encodeDatagram({ .process = m_options.process, .records = { m_unwritten.back() } });
    if (datagram.size() > maxDatagramBytes)
        return;
    sendToAll(datagram);
    for (const base::duration delay : m_options.repeats)
        m_timers.runAfter(delay, [this, datagram] { sendToAll(datagram); });
}

void quarantine_exchange::sendToAll(const std::string& datagram)
{
    for (const auto& [process, address] : m_peers)
        m_send(address, datagram);
}

std::size_t quarantine_exchange::pendingParts() const
{
    std::size_t parts = 0;
    for (const numbered_record& item : m_unwritten)
        parts += partsIn(item.record);
    return parts;
}

std::size_t quarantine_exchange::nextEntrySize() const
{
    std::size_t count = 0;
    std::size_t parts = 0;
    for (const numbered_record& item : m_unwritten) {
        parts += partsIn(item.record);
        if (count > 0 && parts > m_options.maxEntryParts)
            break;
        ++count;
    }
    return count;
}

void quarantine_exchange::scheduleWrite(base::duration delay)
{
    if (m_unwritten.empty() || std::exchange(m_writeScheduled, true))
        return;
    m_timers.runAfter(delay, [this] { write(); });
}

void quarantine_exchange::withLease(std::function<void(base::result<std::uint64_t>)> done)
{
    if (m_lease.id() != 0 && m_clock.now() - m_leaseGrantedAt <= m_options.leaseRenewal)
        return done(m_lease.id());
    m_store.grantLease(
        m_options.recordTime, [this, done = std::move(done)](base::result<std::uint64_t> lease) {
            if (lease) {
                m_lease.granted(*lease);
                m_leaseGrantedAt = m_clock.now();
            }
            done(lease);
        });
}

void quarantine_exchange::write()
{
    withLease([this](base::result<std::uint64_t> lease) {
        if (!lease)
            return writeFailed(lease.error());
        writeRecords();
    });
}

void quarantine_exchange::writeRecords()
{
    if (m_unwritten.empty()) {
        m_writeScheduled = false;
        return;
    }
    const std::vector<numbered_record> records(
        m_unwritten.begin(), m_unwritten.begin() + static_cast<std::ptrdiff_t>(nextEntrySize()));
    const std::uint64_t last = records.back().sequence;
    m_store.put({ .key = m_decoder.quarantineKey(fmt::format("{}/{}", m_options.process, last)),
                    .value = encodeText({ .process = m_options.process, .records = records }),
                    .lease = m_lease.id() },
        [this, last](base::result<std::uint64_t> revision) {
            if (!revision)
                return writeFailed(revision.error());
            std::erase_if(m_unwritten, [last](const numbered_record& item) { return item.sequence <= last; });
            m_writeScheduled = false;
            scheduleWrite(m_options.writeInterval);
        });
}

void quarantine_exchange::writeFailed(const base::error& failure)
{
    // The failed call is counted by the store's client; the records go to the others as datagrams as well.
    if (failure.reason == base::error_reason::NotFound)
        m_lease.forget(); // Has expired, for example in an outage of the store.
    m_writeScheduled = false;
    scheduleWrite(m_options.retryDelay);
}

void quarantine_exchange::gossip()
{
    const std::vector<blocked_part> blocks = m_parts.ownBlocks();
    quarantine_batch batch { .process = m_options.process };
    std::size_t parts = 0;
    for (std::size_t i = 0; i < std::min(blocks.size(), m_options.maxGossipBlocks); ++i) {
        const blocked_part& block = blocks[m_nextGossip % blocks.size()];
        parts += partsIn(block);
        if (i > 0 && parts > maxRecordParts)
            break;
        ++m_nextGossip;
        batch.records.push_back({ .record = block });
    }
    if (!batch.records.empty() && !m_peers.empty()) {
        const std::string datagram = encodeDatagram(batch);
        for (int i = 0; i < m_options.gossipFanout; ++i)
            m_send(std::next(m_peers.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_peers.size())))
                       ->second,
                datagram);
    }
    m_timers.runAfter(m_options.gossipInterval, [this] { gossip(); });
}

void quarantine_exchange::claimTrial(std::string_view part, int number, std::function<void(bool)> done)
{
    // Until the claim is decided, and if it is lost, this process starts no other one.
    const trial_start trial { .part = std::string(part), .number = number };
    m_parts.trialStarted(trial);
    struct claim {
        std::function<void(bool)> done;
        void decide(bool granted)
        {
            if (const auto call = std::exchange(done, nullptr))
                call(granted);
        }
    };
    const auto pending = std::make_shared<claim>(claim { .done = std::move(done) });
    m_timers.runAfter(m_options.claimTimeout, [pending] { pending->decide(false); });
    withLease([this, trial, pending](base::result<std::uint64_t> lease) {
        if (!lease)
            return pending->decide(false);
        const std::string name = fmt::format("trial/{:016x}/{}", base::hash64(trial.part), trial.number);
        m_store.put(
            { .key = m_decoder.quarantineKey(name),
                .value = encodeText({ .process = m_options.process, .records = { { .record = trial } } }),
                .expectedRevision = 0,
                .lease = *lease },
            [this, trial, pending](base::result<std::uint64_t> created) {
                if (created)
                    rememberTrial(trial);
                pending->decide(created.has_value());
            });
    });
}

void quarantine_exchange::rememberTrial(const trial_start& trial)
{
    const std::vector<blocked_part> blocks = m_parts.ownBlocks();
    std::erase_if(m_ownTrials, [&](const auto& item) {
        return std::ranges::find(blocks, item.first, &blocked_part::part) == blocks.end();
    });
    m_ownTrials[trial.part] = trial.number;
}

bool quarantine_exchange::isNew(std::string_view process, std::uint64_t sequence)
{
    if (process == m_options.process)
        return false;
    if (sequence == 0)
        return true;
    if (m_knownRecords.size() >= m_options.maxKnownRecords)
        m_knownRecords.clear(); // Records that are added again change little.
    return m_knownRecords.emplace(process, sequence).second;
}

void quarantine_exchange::received(std::string_view bytes)
{
    const auto batch = decodeQuarantineDatagram(bytes);
    // The port is open to any sender.
    if (batch && m_peers.contains(batch->process))
        apply(*batch);
}

void quarantine_exchange::apply(const quarantine_batch& batch)
{
    for (const numbered_record& item : batch.records)
        if (isNew(batch.process, item.sequence))
            apply(item.record);
}

void quarantine_exchange::apply(const quarantine_record& record)
{
    if (const auto* end = std::get_if<target_end>(&record)) {
        m_parts.targetEnded(*end);
    } else if (const auto* block = std::get_if<blocked_part>(&record)) {
        m_parts.blockReported(*block);
    } else if (const auto* sound = std::get_if<sound_part>(&record)) {
        cancelSound(*sound);
        m_parts.soundReported(*sound);
    } else if (const auto* trial = std::get_if<trial_start>(&record)) {
        m_parts.trialStarted(*trial);
    }
}

void quarantine_exchange::stored(const quarantine_entry& entry)
{
    const std::uint64_t position = platform::positionOf(m_store.era(), entry.revision);
    if (position <= m_appliedPosition)
        return;
    m_appliedPosition = position;
    if (entry.operatorBlock) {
        m_lostOperatorBlocks.erase(entry.key);
        m_operatorBlocks[entry.key] = entry.operatorBlock->part;
        return m_parts.blockReported(*entry.operatorBlock, true);
    }
    for (const numbered_record& item : entry.batch.records)
        if (const auto* block = std::get_if<blocked_part>(&item.record))
            if (const auto waiting = m_unwrittenBlocks.find(block->part);
                waiting != m_unwrittenBlocks.end()) {
                m_timers.cancel(waiting->second);
                m_unwrittenBlocks.erase(waiting);
            }
    apply(entry.batch);
}

void quarantine_exchange::snapshotRead(std::vector<quarantine_entry> entries)
{
    std::ranges::sort(entries, {}, &quarantine_entry::revision);
    std::set<std::string> present;
    for (const quarantine_entry& entry : entries) {
        present.insert(entry.key);
        stored(entry);
    }
    std::vector<std::string> gone;
    for (const auto& [key, part] : m_operatorBlocks)
        if (!present.contains(key))
            gone.push_back(key);
    const std::uint64_t era = m_store.era();
    if (std::exchange(m_era, era) == era) {
        for (const std::string& key : gone)
            if (!m_lostOperatorBlocks.contains(key))
                withdrawn(key);
        return;
    }
    m_lostOperatorBlocks.insert(gone.begin(), gone.end());
    m_timers.runAfter(m_options.operatorTime, [this, era] {
        if (era != m_era)
            return;
        for (const std::string& key : std::exchange(m_lostOperatorBlocks, {}))
            withdrawn(key);
    });
}

void quarantine_exchange::withdrawn(std::string_view key)
{
    const auto found = m_operatorBlocks.find(key);
    if (found == m_operatorBlocks.end())
        return;
    const std::string part = found->second;
    m_operatorBlocks.erase(found);
    m_parts.withdrawn(part);
}

} // namespace marigold::relay
