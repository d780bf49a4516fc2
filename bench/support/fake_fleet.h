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
enum class fleet_plan {
    Ours,
    OursWithoutLimit, ///< The agent does not refuse above the router's wait limit.
    Random,
    RoundRobin,
    LeastLoad, ///< Least expected wait over all targets, by the reports as they are.
};

inline std::string_view nameOf(fleet_plan plan)
{
    constexpr std::array<std::string_view, 5> names { "ours", "ours_no_limit", "random", "round_robin",
        "least_load" };
    return names[static_cast<std::size_t>(plan)];
}

/// Entries with their own stale tables in front of fake targets, for prompts without kept context.
class fake_fleet {
public:
    struct options {
        int entries = 1;
        int targets = 1;
        int domains = 1;
        fleet_plan plan = fleet_plan::Ours;
        std::uint64_t seed = 1;
        base::duration reportDelay { 500'000 }; ///< Reports are sent once a second and arrive this late.
        fake_target::options target = {};
        /// Called at the first token with the time since arrival.
        std::function<void(double seconds)> served = {};
        std::function<void()> refused = {}; ///< No candidate took the request, or it was shed.
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
        target.firstToken = [this](const fake_request& r, int) { onFirstToken(r); };
        target.ended = [this](const fake_request& r) { release(r.id); };
        target.shed = [this](const fake_request& r) {
            release(r.id);
            m_options.refused();
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

    /// Takes failure domains out of service at all entries, or puts all back.
    void exclude(const std::vector<std::string>& domains)
    {
        for (const auto& entry : m_entries)
            entry->table.setExcludedDomains(domains);
    }

    /// A request arrives at a random entry.
    void arrive(const fake_request& prompt)
    {
        entry_state& entry = *m_entries[m_random.below(m_entries.size())];
        base::duration refused { 0 }; // spent on refusals by agents
        for (const routing::candidate& item : choose(entry, prompt)) {
            if (attempt(entry, prompt, item, refused))
                return;
            ++refusals;
            refused += refusalTime;
        }
        m_options.refused();
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
            , turn(random.next())
        {
        }

        routing::target_table table;
        base::random_source random;
        routing::router subject { table, random, {} };
        std::uint64_t turn;
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

    std::vector<routing::candidate> choose(entry_state& entry, const fake_request& prompt)
    {
        using routing::target_index;
        const auto count = static_cast<std::uint64_t>(targets.size());
        const auto fixed = [&](std::uint64_t first) {
            std::vector<routing::candidate> out;
            for (std::uint64_t i = 0; i < count && out.size() < routing::route_decision::usualCandidates; ++i)
                if (const auto t = static_cast<target_index>((first + i) % count); entry.table.isEligible(t))
                    out.push_back({ .target = t });
            return out;
        };
        switch (m_options.plan) {
        case fleet_plan::Random:
            return fixed(entry.random.below(count));
        case fleet_plan::RoundRobin:
            return fixed(entry.turn++);
        case fleet_plan::LeastLoad: {
            target_index best = 0;
            double least = 1e9;
            for (target_index t = 0; t < count; ++t) {
                const double wait = routing::cost_model::waitSeconds(entry.table.estimate(t, time.now()));
                if (entry.table.isEligible(t) && wait < least) {
                    least = wait;
                    best = t;
                }
            }
            return fixed(best);
        }
        default:
            break;
        }
        const auto decision = entry.subject.route(
            { .model = "m", .size = { .promptTokens = prompt.promptTokens } }, time.now());
        return { decision.candidates().begin(), decision.candidates().end() };
    }

    bool attempt(entry_state& entry, const fake_request& prompt, const routing::candidate& item,
        base::duration refused)
    {
        fake_request request = prompt;
        request.id = ++m_lastId;
        if (m_options.plan == fleet_plan::Ours)
            request.waitLimit = item.waitLimit;
        m_open[request.id] = { .entry = &entry, .ticket = {}, .arrivedAt = time.now() - refused };
        if (!targets[item.target]->submit(request)) {
            m_open.erase(request.id);
            entry.table.report(item.target, targets[item.target]->report(), time.now());
            return false;
        }
        if (m_options.plan != fleet_plan::LeastLoad) // the plain baseline knows nothing but reports
            m_open[request.id].ticket
                = entry.table.recordChoice(item.target, prompt.promptTokens, time.now());
        return true;
    }

    void onFirstToken(const fake_request& request)
    {
        m_options.served(std::chrono::duration<double>(time.now() - m_open.at(request.id).arrivedAt).count());
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
