#pragma once

#include "fake_target.h"

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigold::bench {

/// How an entry of a fake fleet chooses a target.
enum class routing_strategy {
    Ours, ///< The router of the routing library.
    OursWithoutLimit, ///< The same, but requests carry no wait limit, so agents do not refuse above it.
    Random,
    RoundRobin,
    LeastLoad, ///< Least expected wait over all targets according to the last received reports.
};

inline std::string_view nameOf(routing_strategy strategy)
{
    constexpr std::array<std::string_view, 5> names { "ours", "ours_no_limit", "random", "round_robin",
        "least_load" };
    return names[static_cast<std::size_t>(strategy)];
}

/// Entries, each with its own target table of stale reports, in front of fake targets. The prompts have no
/// cached context.
class fake_fleet {
public:
    struct options {
        int entries = 1;
        int targets = 1;
        int domains = 1;
        routing_strategy strategy = routing_strategy::Ours;
        std::uint64_t seed = 1;
        base::duration reportDelay {
            500'000
        }; ///< Delivery delay of the reports, which are sent once a second.
        fake_target::options target = {};
        /// Called at the first token with the time since the arrival of the request.
        std::function<void(double seconds)> onServed = {};
        /// Called if all candidates refused the request, or it was shed.
        std::function<void()> onRefused = {};
    };

    explicit fake_fleet(options opts)
        : m_options(std::move(opts))
        , m_random(m_options.seed)
    {
        for (int e = 0; e < m_options.entries; ++e)
            m_entries.push_back(std::make_unique<entry_state>(
                routing::target_table::options { .failureDomain = domainOf(e), .region = "r" },
                m_random.next()));
        fake_target::options target = m_options.target;
        target.onFirstToken = [this](const fake_request& r, int) { onFirstToken(r); };
        target.onEnded = [this](const fake_request& r) { release(r.id); };
        target.onShed = [this](const fake_request& r) {
            release(r.id);
            m_options.onRefused();
        };
        for (int t = 0; t < m_options.targets; ++t) {
            targets.push_back(std::make_unique<fake_target>(time, timers, target));
            for (const auto& entry : m_entries)
                entry->table.put(
                    { .id = std::to_string(t), .failureDomain = domainOf(t), .region = "r", .model = "m" });
        }
        sendReports();
    }

    std::string domainOf(int number) const { return "d" + std::to_string(number % m_options.domains); }

    /// Takes \a domains out of service at all entries and puts all other failure domains in service.
    void exclude(const std::vector<std::string>& domains)
    {
        for (const auto& entry : m_entries)
            entry->table.setExcludedDomains(domains);
    }

    /// Routes \a prompt through a random entry.
    void arrive(const fake_request& prompt)
    {
        entry_state& entry = *m_entries[m_random.below(m_entries.size())];
        base::duration refusalDelay { 0 }; // time spent on refusals by agents
        for (const routing::candidate& item : chooseCandidates(entry, prompt)) {
            if (attempt(entry, prompt, item, refusalDelay))
                return;
            ++refusals;
            refusalDelay += refusalTime;
        }
        m_options.onRefused();
    }

    base::manual_clock time;
    base::manual_scheduler timers { time };
    std::vector<std::unique_ptr<fake_target>> targets;
    std::size_t refusals = 0;

private:
    static constexpr base::duration refusalTime { 2'000 }; // round trip between failure domains

    struct entry_state {
        entry_state(const routing::target_table::options& place, std::uint64_t seed)
            : table(place)
            , random(seed)
            , roundRobinIndex(random.next())
        {
        }

        routing::target_table table;
        base::random_source random;
        routing::router targetRouter { table, random, {} };
        std::uint64_t roundRobinIndex;
    };

    struct open_request {
        entry_state* entry;
        routing::choice_ticket ticket;
        base::time_point arrivedAt;
    };

    void sendReports()
    {
        std::vector<routing::load_report> loads;
        loads.reserve(targets.size());
        for (const auto& target : targets)
            loads.push_back(target->report());
        timers.runAfter(m_options.reportDelay, [this, loads = std::move(loads), at = time.now()] {
            for (const auto& entry : m_entries)
                for (routing::target_index t = 0; t < loads.size(); ++t)
                    entry->table.report(t, loads[t], at);
        });
        timers.runAfter(base::duration(1'000'000), [this] { sendReports(); });
    }

    std::vector<routing::candidate> chooseCandidates(entry_state& entry, const fake_request& prompt)
    {
        using routing::target_index;
        const auto count = static_cast<std::uint64_t>(targets.size());
        const auto inOrderFrom = [&](std::uint64_t first) {
            std::vector<routing::candidate> out;
            for (std::uint64_t i = 0; i < count && out.size() < routing::route_decision::defaultCandidates;
                 ++i)
                if (const auto t = static_cast<target_index>((first + i) % count); entry.table.isEligible(t))
                    out.push_back({ .target = t });
            return out;
        };
        switch (m_options.strategy) {
        case routing_strategy::Random:
            return inOrderFrom(entry.random.below(count));
        case routing_strategy::RoundRobin:
            return inOrderFrom(entry.roundRobinIndex++);
        case routing_strategy::LeastLoad: {
            target_index best = 0;
            double least = 1e9;
            for (target_index t = 0; t < count; ++t) {
                const double wait = routing::cost_model::waitSeconds(entry.table.estimate(t, time.now()));
                if (entry.table.isEligible(t) && wait < least) {
                    least = wait;
                    best = t;
                }
            }
            return inOrderFrom(best);
        }
        default:
            break;
        }
        const auto decision = entry.targetRouter.route(
            { .model = "m", .size = { .promptTokens = prompt.promptTokens } }, time.now());
        return { decision.candidates().begin(), decision.candidates().end() };
    }

    bool attempt(entry_state& entry, const fake_request& prompt, const routing::candidate& item,
        base::duration refusalDelay)
    {
        fake_request request = prompt;
        request.id = ++m_lastId;
        if (m_options.strategy == routing_strategy::Ours)
            request.waitLimit = item.waitLimit;
        m_open[request.id] = { .entry = &entry, .ticket = {}, .arrivedAt = time.now() - refusalDelay };
        if (!targets[item.target]->submit(request)) {
            m_open.erase(request.id);
            entry.table.report(item.target, targets[item.target]->report(), time.now());
            return false;
        }
        if (m_options.strategy != routing_strategy::LeastLoad) // this baseline uses the reports alone
            m_open[request.id].ticket
                = entry.table.recordChoice(item.target, prompt.promptTokens, time.now());
        return true;
    }

    void onFirstToken(const fake_request& request)
    {
        m_options.onServed(
            std::chrono::duration<double>(time.now() - m_open.at(request.id).arrivedAt).count());
    }

    void release(routing::work_id id)
    {
        const auto node = m_open.extract(id);
        node.mapped().entry->table.recordEnd(node.mapped().ticket, time.now());
    }

    options m_options;
    base::random_source m_random;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    std::unordered_map<routing::work_id, open_request> m_open;
    routing::work_id m_lastId = 0;
};

} // namespace marigold::bench
