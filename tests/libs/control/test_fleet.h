#pragma once

#include "datagram_network.h"

#include <support/fake_kv_store.h>

#include <memory>

namespace marigold::testing {

/// A process of a test fleet with membership and configuration replica.
class test_process {
public:
    struct environment {
        base::manual_clock& time;
        base::manual_scheduler& timers;
        datagram_network& net;
        fake_kv_store& store;
        std::map<std::string, test_process*>& running;
    };

    test_process(const environment& shared, control::member self, std::uint64_t seed)
        : m_environment(shared)
        , random(seed)
        , m_port(shared.net, self.id)
        , m_peers { *this }
        , members(std::move(self), m_port, m_auth, shared.time, random, m_events, {})
        , log(shared.store, shared.timers, shared.time, m_events, {})
        , replica(log, shared.store, m_peers, shared.timers, random, m_events, {})
    {
        replica.setListener([this](const control::config_state& state) {
            versionDecreased = versionDecreased || state.version < highest;
            highest = std::max(highest, state.version);
            members.setConfigVersion(state.version);
        });
        members.setListener({
            .higherVersionReceived
            = [this](auto version, const auto& id) { replica.recordVersion(version, id); },
            .rejoined =
                [this] {
                    ++rejoins;
                    replica.refresh(others());
                },
        });
        m_environment.running[id()] = this;
        m_environment.net.receivers[id()] = [this](std::string_view bytes) {
            if (paused)
                backlog.emplace_back(bytes);
            else
                members.receive(bytes);
        };
    }

    ~test_process()
    {
        *m_alive = false;
        m_environment.running.erase(id());
        m_environment.net.receivers.erase(id());
    }

    const std::string& id() const { return members.self().id; }

    void tick()
    {
        if (paused)
            return;
        for (const auto& bytes : std::exchange(backlog, {}))
            members.receive(bytes);
        members.tick();
        replica.setWatcher(control::config_replica::isWatcher(id(), entries(), members.self().failureDomain)
            && members.self().kind == control::member_kind::Entry);
    }

    std::vector<std::string> others() const
    {
        std::vector<std::string> out;
        for (const auto* known : members.table().liveMembersOf(members.self().failureDomain))
            if (known->info.id != id())
                out.push_back(known->info.id);
        return out;
    }

    bool paused = false;
    bool versionDecreased = false;
    std::uint64_t highest = 0;
    int rejoins = 0;
    std::vector<std::string> backlog; ///< Datagrams in the socket buffer of a paused process.

private:
    /// Pulls use the same network as the datagrams; a reply is lost together with its request.
    struct peers final : control::config_peers {
        explicit peers(test_process& process)
            : owner(process)
        {
        }

        void pull(const std::string& address, std::uint64_t haveVersion, bool wantsFullDocument,
            std::function<void(base::result<control::pull_answer>)> done) override
        {
            auto& shared = owner.m_environment;
            const bool reached = !shared.net.passes || shared.net.passes(owner.id(), address);
            shared.timers.runAfter(std::chrono::milliseconds(reached ? 3 : 500),
                [&shared, address, haveVersion, wantsFullDocument, reached, alive = owner.m_alive,
                    done = std::move(done)] {
                    if (!*alive)
                        return;
                    const auto found = shared.running.find(address);
                    if (!reached || found == shared.running.end() || found->second->paused)
                        return done(base::notRun(base::error_reason::Unavailable, "no reply"));
                    done(control::pull_answer::decode(
                        found->second->replica.answerPull(haveVersion, wantsFullDocument).encode()));
                });
        }

        test_process& owner;
    };

    std::vector<std::string> entries() const
    {
        std::vector<std::string> out;
        for (const auto* known : members.table().liveMembersOf(members.self().failureDomain))
            if (known->info.kind == control::member_kind::Entry)
                out.push_back(known->info.id);
        return out;
    }

    environment m_environment;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

public:
    base::random_source random;

private:
    base::event_log m_events { { .output = [](std::string_view) {} } };
    control::hmac_authenticator m_auth { "fleet key" };
    network_port m_port;
    peers m_peers;

public:
    control::membership members;
    control::config_log log;
    control::config_replica replica;
};

/// Processes in failure domains, driven by one manual clock.
class test_fleet {
public:
    explicit test_fleet(std::uint64_t seed)
        : random(seed)
        , net(timers, seed + 1)
        , store(time, timers)
    {
    }

    /// Starts a process in \a domain and \a region, replacing a previous one with the same number. The
    /// previous process is not destroyed, since its pending calls must not outlive it.
    test_process& start(const std::string& domain, int number, const std::string& region = "nord")
    {
        const std::string id
            = "10." + std::to_string(domain.back() - 'a') + ".0." + std::to_string(number) + ":7400";
        stop(id);
        std::vector<std::string> seeds;
        for (const auto& [other, process] : running)
            seeds.push_back(other);
        processes[id]
            = std::make_unique<test_process>(test_process::environment { time, timers, net, store, running },
                control::member { .id = id,
                    .failureDomain = domain,
                    .region = region,
                    .kind = number < 3 ? control::member_kind::Entry : control::member_kind::Agent },
                random.next());
        auto& added = *processes[id];
        added.members.join(seeds);
        added.replica.start(std::move(seeds));
        return added;
    }

    /// Ends a process abruptly, without announcing it.
    void stop(const std::string& id)
    {
        const auto found = processes.find(id);
        if (found == processes.end())
            return;
        running.erase(id);
        net.receivers.erase(id);
        ended.push_back(std::move(found->second));
        ended.back()->paused = true;
        processes.erase(found);
    }

    void run(base::duration span)
    {
        constexpr base::duration step = std::chrono::milliseconds(100);
        for (base::duration done { 0 }; done < span; done += step) {
            timers.advance(step);
            for (const auto& [id, process] : processes)
                process->tick();
        }
    }

    /// Returns true if all running processes consider exactly the running ones as alive.
    bool agrees() const
    {
        for (const auto& [id, process] : processes)
            for (const auto& [other, peer] : processes)
                if (process->members.stateOf(other) != control::member_state::Alive)
                    return false;
        for (const auto& [id, process] : processes)
            for (const auto& [other, known] : process->members.table().all())
                if (!processes.contains(other) && known.info.state != control::member_state::Dead)
                    return false;
        return true;
    }

    base::random_source random;
    base::manual_clock time;
    base::manual_scheduler timers { time };
    datagram_network net;
    fake_kv_store store;
    std::map<std::string, test_process*> running;
    std::map<std::string, std::unique_ptr<test_process>> processes;
    std::vector<std::unique_ptr<test_process>> ended;
};

} // namespace marigold::testing
