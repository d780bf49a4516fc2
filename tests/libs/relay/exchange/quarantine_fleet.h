#pragma once

#include <relay/exchange/quarantine_exchange.h>

#include <support/fake_kv_store.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace marigold::testing {

using namespace marigold::relay;

using parts = std::vector<std::string>;

/// Bounds of the users: requests with the part that may reach targets after the fifth end, and the time that
/// the processes have to learn of it.
inline constexpr int endsBeforeBound = 5;
inline constexpr base::duration stableTime = std::chrono::seconds(3);

class plain_decoder : public state_decoder {
public:
    base::result<state_item> decode(const platform::kv_entry& entry) const override
    {
        const auto batch = decodeQuarantineText(entry.value);
        if (!batch)
            return base::notRun(base::error_reason::InvalidRequest, batch.error().message);
        return quarantine_entry { .key = entry.key, .revision = entry.revision, .batch = *batch };
    }
    state_item removed(std::string_view) const override { return {}; }
    std::string processKey(std::string_view id) const override { return std::string(id); }
    std::string orderLeaseKey() const override { return "orders"; }
    std::string quarantineKey(std::string_view name) const override { return "q/" + std::string(name); }
};

/// The store as one process reaches it.
class store_link final : public platform::kv_store {
public:
    store_link(fake_kv_store& store, base::scheduler& timers)
        : m_store(store)
        , m_timers(timers)
    {
    }
    bool isCut = false;

    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override
    {
        m_store.get(key, std::move(done));
    }
    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        if (!failed(done))
            m_store.put(std::move(write), std::move(done));
    }
    void remove(std::string_view key, std::uint64_t expected, callback<void> done) override
    {
        m_store.remove(key, expected, std::move(done));
    }
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override
    {
        m_store.range(prefix, after, limit, std::move(done));
    }
    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override
    {
        if (!failed(done))
            m_store.grantLease(timeToLive, std::move(done));
    }
    void keepAlive(std::uint64_t lease, callback<void> done) override
    {
        m_store.keepAlive(lease, std::move(done));
    }
    void revokeLease(std::uint64_t lease, callback<void> done) override
    {
        m_store.revokeLease(lease, std::move(done));
    }
    void watch(std::string_view prefix, std::uint64_t after, base::duration wait,
        callback<platform::kv_watch_batch> done) override
    {
        m_store.watch(prefix, after, wait, std::move(done));
    }

private:
    bool failed(const callback<std::uint64_t>& done)
    {
        if (isCut)
            m_timers.runAfter(std::chrono::milliseconds(5),
                [done] { done(base::notRun(base::error_reason::Unavailable, "cut off")); });
        return isCut;
    }

    fake_kv_store& m_store;
    base::scheduler& m_timers;
};

struct scenario {
    int relays = 4;
    std::uint64_t seed = 1;
    double datagramLoss = 0.1;
    double cutFromPeers = 0; ///< Share of the processes.
    double cutFromStore = 0; ///< Share of the processes, others than those.
    bool hasCrashingPart = true;
    bool restarts = false;
    bool storeOutage = false; ///< From before the first end, for some seconds.
    bool turnsLate = false; ///< The crashing part is answered for a while before.
    int crashEvents = 0; ///< Events that a target writes at the most before it ends.
    int streamEvents = 0; ///< Events of a sound answer; those that are cut are at any of them.
    double endsPerSecond = 0.8; ///< Of targets that end by themselves.
    int sessionParts = 0; ///< Further parts of each crashing prompt, of its own session.
    int soundPages = 200; ///< Number of the parts that few sound requests share.
};

/// Processes that share evidence over a network and a store with faults, in simulated time.
class fleet {
public:
    explicit fleet(const scenario& s)
        : m_scenario(s)
        , m_random(s.seed)
    {
        for (int i = 0; i < s.relays; ++i) {
            m_processes.push_back(std::make_unique<process>());
            start(i);
        }
    }

    void run()
    {
        constexpr base::duration step = std::chrono::milliseconds(10);
        constexpr base::duration warmUp = std::chrono::seconds(3);
        constexpr base::duration trouble = std::chrono::seconds(18);
        constexpr base::duration calm = std::chrono::seconds(3);
        constexpr base::duration untilFirstTrial = std::chrono::seconds(25);
        const base::duration end = warmUp + trouble + calm;
        for (base::duration passed {}; passed < end + untilFirstTrial; passed += step) {
            if (passed >= end && blockedSoundParts().empty())
                return;
            m_inTrouble = passed >= warmUp && passed < warmUp + trouble;
            m_timers.advance(step);
            if (passed.count() % 100'000 == 0)
                readStore();
            changeFaults(passed, warmUp);
            const double seconds = std::chrono::duration<double>(step).count();
            repeat(soundPerSecond * seconds, [this] { sendSound(); });
            if (m_scenario.hasCrashingPart && (m_inTrouble || m_scenario.turnsLate))
                repeat(crashingPerSecond * seconds, [this] { sendCrashing(); });
            if (m_inTrouble)
                repeat(m_scenario.endsPerSecond * seconds, [this] { endForNoReason(); });
        }
    }

    int endsByPart() const { return static_cast<int>(m_crashes.size()); }

    int lateSends() const
    {
        if (endsByPart() < endsBeforeBound)
            return 0;
        const base::time_point from = m_crashes[endsBeforeBound - 1] + stableTime;
        return static_cast<int>(
            std::ranges::count_if(m_inTouchSends, [from](base::time_point at) { return at > from; }));
    }

    /// Returns the sound parts that any process has blocked on its own, for however short a time.
    const std::set<std::string>& everBlockedSoundParts() const { return m_everBlocked; }

    double soundShare() const { return m_soundSent == 0 ? 1 : 1.0 * m_soundPlaced / m_soundSent; }

    /// Returns the sound parts that any process still blocks on its own.
    parts blockedSoundParts() const
    {
        parts found;
        for (const auto& item : m_processes)
            for (const blocked_part& block : item->quarantine->blocks())
                if (block.with == parts { block.part } && block.part != "x")
                    found.push_back(block.part);
        return found;
    }

private:
    static constexpr double soundPerSecond = 120;
    static constexpr double crashingPerSecond = 5;

    struct process {
        std::string name;
        int starts = 0;
        std::unique_ptr<store_link> store;
        std::unique_ptr<part_quarantine> quarantine;
        std::unique_ptr<quarantine_exchange> exchange;
        bool isCutFromPeers = false;
        base::time_point inTouchSince {}; ///< Runs and reaches the store since then.
        std::uint64_t revision = 0;
    };

    template <typename Action> void repeat(double expected, const Action& action)
    {
        for (; expected >= 1 || m_random.uniform() < expected; --expected)
            action();
    }

    void start(int index)
    {
        process& self = *m_processes[static_cast<std::size_t>(index)];
        self.name = "p" + std::to_string(index) + "." + std::to_string(self.starts++);
        // The timers of an exchange that has ended must find their objects.
        if (self.exchange) {
            m_ended.push_back(std::move(self.exchange));
            m_endedQuarantines.push_back(std::move(self.quarantine));
        }
        if (!self.store)
            self.store = std::make_unique<store_link>(m_store, m_timers);
        self.quarantine = std::make_unique<part_quarantine>(m_clock,
            part_quarantine::observer { .blocked =
                                            [this, &self](const blocked_part& block) {
                                                if (block.part != "x" && block.with == parts { block.part })
                                                    m_everBlocked.insert(block.part);
                                                self.exchange->partBlocked(block);
                                            },
                .sound = [&self](const sound_part& report) { self.exchange->partSound(report); } },
            part_quarantine::options {});
        self.exchange = std::make_unique<quarantine_exchange>(
            *self.quarantine, *self.store, m_decoder, m_timers, m_clock, m_random,
            [this, &self, name = self.name](
                const net::endpoint& to, std::string_view bytes) { transmit(self, name, to, bytes); },
            quarantine_exchange::options { .process = self.name });
        self.exchange->start();
        self.inTouchSince = m_clock.now();
        self.revision = 0;
        std::map<std::string, net::endpoint> addresses;
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            addresses[m_processes[i]->name]
                = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(i + 1) };
        for (const auto& item : m_processes)
            if (item->exchange)
                item->exchange->setPeers(addresses);
        readStore(self);
    }

    void transmit(
        const process& from, const std::string& name, const net::endpoint& to, std::string_view bytes)
    {
        const std::size_t index = to.port - 1;
        if (from.name != name || from.isCutFromPeers || m_random.uniform() < m_scenario.datagramLoss)
            return;
        m_timers.runAfter(std::chrono::milliseconds(1), [this, index, text = std::string(bytes)] {
            process& receiver = *m_processes[index];
            if (!receiver.isCutFromPeers)
                receiver.exchange->received(text);
        });
    }

    void readStore()
    {
        for (const auto& item : m_processes)
            readStore(*item);
    }

    void readStore(process& self)
    {
        if (self.store->isCut || m_store.down)
            return;
        std::vector<quarantine_entry> entries;
        std::uint64_t newest = self.revision;
        for (const auto& [key, entry] : m_store.entries) {
            if (entry.revision <= self.revision)
                continue;
            entries.push_back(std::get<quarantine_entry>(*m_decoder.decode(entry)));
            newest = std::max(newest, entry.revision);
        }
        self.revision = newest;
        self.exchange->snapshotRead(std::move(entries));
    }

    void changeFaults(base::duration passed, base::duration warmUp)
    {
        const base::duration since = passed - warmUp;
        if (since.count() == 0)
            for (const auto& item : m_processes) {
                const double drawn = m_random.uniform();
                item->isCutFromPeers = drawn < m_scenario.cutFromPeers;
                item->store->isCut
                    = !item->isCutFromPeers && drawn < m_scenario.cutFromPeers + m_scenario.cutFromStore;
            }
        if (m_scenario.storeOutage && since.count() == 0)
            m_store.down = true;
        if (since == std::chrono::seconds(7) && std::exchange(m_store.down, false))
            for (const auto& item : m_processes)
                item->inTouchSince = m_clock.now();
        if (m_scenario.restarts && m_inTrouble && passed.count() % 900'000 == 0)
            start(static_cast<int>(m_random.below(m_processes.size())));
    }

    process& anyProcess() { return *m_processes[m_random.below(m_processes.size())]; }

    parts soundParts()
    {
        return { "team" + std::to_string(m_random.below(3)), "book" + std::to_string(m_random.below(20)),
            "page" + std::to_string(m_random.below(static_cast<std::uint64_t>(m_scenario.soundPages))) };
    }

    bool isInTouch(const process& self) const
    {
        return !m_store.down && !self.store->isCut && m_clock.now() - self.inTouchSince >= stableTime;
    }

    void sendSound()
    {
        process& self = anyProcess();
        const parts names = soundParts();
        const blocked_part* block = self.quarantine->find(names);
        const bool counts = endsByPart() >= endsBeforeBound
            ? m_clock.now() > m_crashes[endsBeforeBound - 1] + 2 * stableTime
            : m_inTrouble;
        if (counts) {
            ++m_soundSent;
            m_soundPlaced += block ? 0 : 1;
        }
        if (!block)
            return place(self, names);
        if (const auto number = self.quarantine->dueTrial(block->part))
            self.exchange->claimTrial(
                block->part, *number, [this, &self, started = self.name, names](bool granted) {
                    if (granted && self.name == started)
                        place(self, names);
                });
    }

    void place(process& self, const parts& names)
    {
        m_running.push_back({ .relay = &self, .name = self.name, .names = names });
        if (m_scenario.streamEvents > 0)
            advanceStreams();
        if (m_running.size() > maxRunning) {
            const running oldest = m_running.front();
            m_running.pop_front();
            if (oldest.relay->name == oldest.name)
                oldest.relay->quarantine->answered(oldest.names);
        }
    }

    void sendCrashing()
    {
        process& self = anyProcess();
        parts names = soundParts();
        for (int i = 0; i < m_scenario.sessionParts; ++i)
            names.push_back("session" + std::to_string(++m_nextSessionPart));
        names.insert(names.begin() + static_cast<std::ptrdiff_t>(m_random.below(names.size() + 1)), "x");
        if (!m_inTrouble)
            return self.quarantine->answered(names);
        const blocked_part* block = self.quarantine->find(names);
        if (!block)
            return crash(self, names);
        if (const auto number = self.quarantine->dueTrial(block->part))
            self.exchange->claimTrial(
                block->part, *number, [this, &self, started = self.name, names](bool granted) {
                    if (granted && self.name == started)
                        crash(self, names);
                });
    }

    void crash(process& self, const parts& names)
    {
        if (isInTouch(self))
            m_inTouchSends.push_back(m_clock.now());
        m_timers.runAfter(
            std::chrono::milliseconds(30 + m_random.below(100)), [this, &self, started = self.name, names] {
                const std::string target = endTarget();
                m_crashes.push_back(m_clock.now());
                // A process that has ended in the meantime tells nobody.
                if (self.name == started)
                    self.exchange->targetEnded({ .target = target,
                        .parts = names,
                        .answerBegun = true,
                        .events = anyUpTo(m_scenario.crashEvents) });
            });
    }

    /// Ends a target with a few of the running requests, whatever they are.
    std::string endTarget()
    {
        const std::string target = "t" + std::to_string(m_nextTarget++);
        for (int i = 0; i < 3 && !m_running.empty(); ++i) {
            // A stream that is cut may have run for long.
            const std::size_t index
                = m_scenario.streamEvents > 0 ? m_random.below(m_running.size()) : m_running.size() - 1;
            const running lost = m_running[index];
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
            if (lost.relay->name != lost.name)
                continue;
            const int events = eventsAt(m_running.size() - index);
            if (events > 0 || m_random.uniform() < 0.5)
                lost.relay->exchange->targetEnded({ .target = target,
                    .parts = lost.names,
                    .answerBegun = events > 0 || m_random.uniform() < 0.2,
                    .events = events });
        }
        return target;
    }

    /// Returns the events of the answer to a request after which \a later ones have begun.
    int eventsAt(std::size_t later) const
    {
        return m_scenario.streamEvents * static_cast<int>(later) / static_cast<int>(maxRunning);
    }

    int anyUpTo(int events)
    {
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(events) + 1));
    }

    /// Tells the processes which of their answers have come further.
    void advanceStreams()
    {
        for (std::size_t i = 0; i < m_running.size(); ++i) {
            running& item = m_running[i];
            const int stage = answerStage(eventsAt(m_running.size() - 1 - i));
            if (stage > std::exchange(item.stage, std::max(item.stage, stage))
                && item.relay->name == item.name)
                item.relay->quarantine->stageReached(item.names, stage);
        }
    }

    void endForNoReason()
    {
        const int count = m_random.uniform() < 0.2 ? 8 : 1;
        for (int i = 0; i < count; ++i)
            endTarget();
    }

    struct running {
        process* relay;
        std::string name; ///< Of the process when it sent the request.
        parts names;
        int stage = 0; ///< That the answer has reached.
    };
    static constexpr std::size_t maxRunning = 40;

    scenario m_scenario;
    base::random_source m_random;
    base::manual_clock m_clock;
    base::manual_scheduler m_timers { m_clock };
    fake_kv_store m_store { m_clock, m_timers };
    plain_decoder m_decoder;
    std::vector<std::unique_ptr<process>> m_processes;
    std::vector<std::unique_ptr<part_quarantine>> m_endedQuarantines;
    std::vector<std::unique_ptr<quarantine_exchange>> m_ended;
    std::deque<running> m_running;
    bool m_inTrouble = false;
    int m_nextTarget = 0;
    int m_nextSessionPart = 0;
    std::vector<base::time_point> m_crashes;
    std::vector<base::time_point> m_inTouchSends;
    std::set<std::string> m_everBlocked;
    int m_soundSent = 0;
    int m_soundPlaced = 0;
};

} // namespace marigold::testing
