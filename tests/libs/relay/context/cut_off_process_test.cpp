#include <relay/context/context_catalog.h>
#include <relay/exchange/load_exchange.h>
#include <relay/store/presence.h>
#include <support/fake_kv_store.h>
#include <support/key_decoder.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace marigold;
using namespace marigold::relay;

namespace {

const std::string model = "m";
constexpr base::duration step = std::chrono::milliseconds(10);
constexpr base::duration longestFetch = std::chrono::milliseconds(1000);
/// Time in which a process in touch reads a change of the store.
constexpr base::duration watchInterval = std::chrono::milliseconds(300);

/// Process "p0", which alone uses the store of the fixture, and its peers, which are in touch with the
/// platform's store unless it is down for all. The peers use new weights, p0 does not know of them.
struct fleet {
    struct process {
        std::unique_ptr<target_registry> targets;
        std::unique_ptr<load_exchange> exchange;
        std::vector<std::string> inbox; ///< Datagrams that arrived while the process was paused.
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store store { clock, timers };
    testing::key_decoder decoder;
    base::random_source random { 1 };
    presence registration { store, decoder, timers, clock, random, { .process = "p0" } };
    std::map<std::string, process> processes;
    std::map<std::string, net::endpoint> addresses;
    bool isPaused = false; ///< p0 runs no code; datagrams for it are kept by the system.
    bool peersFollow = true; ///< The peers read changes of the platform's store.
    base::time_point missingSince {};
    base::time_point unusedSince {}; ///< When the peers found that no process uses the old weights.
    base::time_point lastFetch {};

    explicit fleet(int peers)
    {
        for (int i = 0; i <= peers; ++i)
            addresses["p" + std::to_string(i)]
                = { .address = "10.0.1.1", .port = static_cast<std::uint16_t>(i + 1) };
        for (const auto& [id, address] : addresses) {
            process& made = processes[id];
            made.targets
                = std::make_unique<target_registry>(clock, target_registry::options { .process = id });
            made.exchange = std::make_unique<load_exchange>(
                *made.targets, timers, clock,
                [this, from = id](
                    const net::endpoint& to, std::string_view bytes) { deliver(from, to, bytes); },
                load_exchange::options { .process = id });
            setProcesses(id, addresses);
            made.targets->stopUsingOlderWeights(model, id == "p0" ? 1 : 2);
            made.exchange->start();
        }
        registration.start();
        run(std::chrono::seconds(9));
        REQUIRE(mayFetch());
        REQUIRE(oldestInUse() == 1);
    }

    void setProcesses(const std::string& id, const std::map<std::string, net::endpoint>& known)
    {
        std::vector<std::string_view> ids;
        for (const auto& [other, address] : known)
            ids.push_back(other);
        processes.at(id).targets->setProcesses(ids);
        processes.at(id).exchange->setPeers(known);
    }

    void deliver(const std::string& from, const net::endpoint& to, std::string_view bytes)
    {
        if (isPaused && from == "p0")
            return;
        timers.runAfter(std::chrono::milliseconds(1), [this, to, datagram = std::string(bytes)] {
            const auto receiver = std::ranges::find_if(
                addresses, [&](const auto& entry) { return entry.second.port == to.port; });
            process& item = processes.at(receiver->first);
            if (isPaused && receiver->first == "p0")
                item.inbox.push_back(datagram);
            else
                item.exchange->received(datagram);
        });
    }

    void resume()
    {
        isPaused = false;
        for (const std::string& datagram : std::exchange(processes.at("p0").inbox, {}))
            processes.at("p0").exchange->received(datagram);
    }

    int oldestInUse() { return processes.at("p1").targets->oldestVersionInUse(model); }

    bool mayFetch() const
    {
        return registration.isKnownToOthers(maxRegistrationAge)
            || processes.at("p0").exchange->isKnownToAll(maxRegistrationAge);
    }

    /// Applies the registrations at all peers, as a process does that follows the store.
    void followStore()
    {
        const base::time_point now = clock.now();
        if (store.entries.contains("p0")) {
            if (std::exchange(missingSince, {}) != base::time_point {})
                setRegistered(true, true);
        } else if (missingSince == base::time_point {}) {
            missingSince = now;
            setRegistered(false, true);
        } else if (now - missingSince >= missingProcessGrace
            && now - missingSince < missingProcessGrace + watchInterval) {
            setRegistered(false, false);
        }
    }

    void setRegistered(bool registered, bool counts)
    {
        std::map<std::string, net::endpoint> known = addresses;
        if (!registered)
            known.erase("p0");
        std::vector<std::string_view> ids;
        for (const auto& [id, address] : addresses)
            if (counts || id != "p0")
                ids.push_back(id);
        for (auto& [id, item] : processes)
            if (id != "p0") {
                item.targets->setProcesses(ids);
                item.exchange->setPeers(known);
            }
    }

    void run(base::duration time)
    {
        for (base::duration passed {}; passed < time; passed += step) {
            timers.advance(step);
            const base::time_point now = clock.now();
            if (peersFollow && now.time_since_epoch() % watchInterval < step)
                followStore();
            if (!isPaused && mayFetch())
                lastFetch = now;
            if (oldestInUse() < 2)
                unusedSince = {};
            else if (unusedSince == base::time_point {})
                unusedSince = now;
        }
    }
};

enum class isolation { LeaseEnds, LeaseIsRevoked, PausedAsWell };

} // namespace

TEST_CASE("the fetches of a process that is cut off have ended when the others take its context as unused")
{
    // Guards against context that is freed while a process fetches it that does not know of newer weights.
    for (const isolation kind : { isolation::LeaseEnds, isolation::LeaseIsRevoked, isolation::PausedAsWell })
        for (const int peers : { 1, 3, 12, 48 })
            for (int offset = 0; offset<2000; offset += peers> 3 ? 1300 : 260) {
                CAPTURE(static_cast<int>(kind));
                CAPTURE(peers);
                CAPTURE(offset);
                fleet relays(peers);
                relays.run(std::chrono::milliseconds(offset));
                relays.store.down = true;
                if (kind == isolation::LeaseIsRevoked)
                    relays.store.erase("p0");
                if (kind == isolation::PausedAsWell) {
                    relays.isPaused = true;
                    relays.run(std::chrono::seconds(9));
                    relays.resume();
                }
                relays.run(std::chrono::seconds(13));
                REQUIRE(relays.unusedSince > base::time_point {});
                // Context is freed 1,500 ms after it was found unused.
                CHECK(
                    relays.lastFetch + longestFetch <= relays.unusedSince + std::chrono::milliseconds(1500));
            }
}

TEST_CASE("all processes use stored context on while the platform's store is down for all of them")
{
    // Guards against prompts that are computed again, since nobody can free context then.
    for (const int peers : { 1, 3, 12 }) {
        CAPTURE(peers);
        fleet relays(peers);
        relays.store.down = true;
        relays.peersFollow = false;
        relays.run(std::chrono::seconds(20));
        CHECK(relays.lastFetch == relays.clock.now());
    }
}

TEST_CASE("a process that is cut off fetches context again once it is in touch")
{
    // Guards against a process that computes all prompts again for the rest of its life.
    fleet relays(3);
    relays.store.down = true;
    relays.run(std::chrono::seconds(13));
    CHECK_FALSE(relays.mayFetch());
    relays.store.down = false;
    relays.run(std::chrono::seconds(3));
    CHECK(relays.mayFetch());
    CHECK(relays.oldestInUse() == 1);
}

TEST_CASE("a process that may not fetch leaves stored parts alone")
{
    // Guards against fetching, and against saving once more what a store holds.
    base::manual_clock clock;
    bool mayFetch = true;
    context_catalog catalog(clock, { .mayFetch = [&] { return mayFetch; } });
    const net::endpoint address { .address = "10.0.0.1", .port = 80 };
    relay_config::options options { .version = 1 };
    options.services.push_back(
        { .name = "store", .store = context_store_info { .address = address, .capacityTokens = 1'000'000 } });
    catalog.setConfig(relay_config(std::move(options)));
    catalog.applyEvents(address,
        { .epoch = 1,
            .next = 1,
            .events = { { .stored = true, .scope = "s", .partId = "p", .tokens = 100 } } });
    const std::vector<prompt_part> parts { { .id = "p", .tokens = 100 }, { .id = "own", .tokens = 10 } };
    CHECK(catalog.plan("s", parts).plan.fetchFrom[0] == address);
    mayFetch = false;
    const auto plan = catalog.plan("s", parts);
    CHECK_FALSE(plan.plan.fetchFrom[0]);
    CHECK_FALSE(plan.plan.saveTo[0]);
    CHECK(plan.cachedTokens == 0);
}
