#pragma once

#include <base/clock.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::routing {

/// Index of a target in the table of this process. Indices are dense and never reused.
using target_index = std::uint32_t;
inline constexpr target_index noTarget = ~target_index { 0 };

enum class target_kind {
    Engine,
    Store,
    Service,
};

enum class target_state {
    Serving,
    Draining, ///< Finishes its work; receives no new work.
    Leaving, ///< Being removed by the platform or an operator; receives no new work.
    Unreachable, ///< Membership cannot determine whether it runs; used only if no serving target is left.
};

/// Returns the lower-case name of \a state.
std::string_view nameOf(target_state state);

struct target_info {
    std::string id;
    std::string failureDomain;
    std::string region;
    target_kind kind = target_kind::Engine;
    std::string model; ///< Model of an engine, or name of a plain service.
    std::string version = {}; ///< Weight version in use.
};

/// Load report of a target or of its agent.
struct load_report {
    int running = 0;
    int queued = 0;
    int slots = 1; ///< Concurrent runs that admission currently allows.
    std::int64_t pendingPrefillTokens = 0; ///< Tokens of admitted prompts still to be prefilled.
    double prefillTokensPerSecond = 0;
    base::duration serviceTime { 0 }; ///< Mean time for which a run occupies a slot.
    /// Age of the least recently used context in the engine's memory; zero if unknown.
    base::duration contextLifetime { 0 };
    /// By how much `serviceTime` exceeds the usual one at present; negative if the target is faster.
    base::duration slowdown { 0 };
};

/// Estimated current load of a target: its report, corrected by the choices of this entry.
struct load_estimate {
    int outstanding = 0; ///< Running and queued runs.
    int slots = 1;
    double pendingPrefillTokens = 0;
    double prefillTokensPerSecond = 0;
    double serviceSeconds = 0;
    double slowdownSeconds = 0; ///< Part of the service time by which the target is slower than usual.
    base::duration contextLifetime { 0 };
    base::duration age { 0 }; ///< Age of the report; the maximum value if there is none.
};

/// Identifies one choice of this entry. Pass it to `recordEnd` when the run ends or is refused.
struct choice_ticket {
    target_index target = noTarget;
    std::uint64_t sequence = 0;
    base::time_point chosenAt {};
};

/// The targets that serve one model or service, grouped by distance from this entry.
struct target_group {
    struct member {
        std::uint64_t seed; ///< Hash of the target's id, for rendezvous hashing.
        target_index index;
    };

    std::vector<member> sameDomain;
    std::vector<member> sameRegion; ///< Other failure domains of the same region.
    std::vector<member> otherRegions;
};

/// The targets known to an entry. Reports are delayed, so the table adds the choices of this entry that are
/// not included in the last report and subtracts its runs that have ended since.
class target_table {
public:
    struct options {
        std::string failureDomain = {}; ///< Of this process.
        std::string region = {}; ///< Of this process.
        /// A choice that precedes a report by this much is included in it (time to reach the target).
        base::duration reportMargin { 2'000 };
        /// A choice is dropped after this time if no report arrives.
        base::duration choiceLifetime { 10'000'000 };
    };

    explicit target_table(options opts);

    /// Adds a target, or updates the one with the same id; returns its index.
    target_index put(const target_info& info);

    /// Removes a target; its index is never used again.
    void remove(target_index target);

    void setState(target_index target, target_state state);

    /// Takes a single target out of service or back into service, on request of an operator.
    void setOutOfService(target_index target, bool outOfService);

    /// Sets whether requests of this process may be sent to \a target at all. One that is not listed is in no
    /// group, so that a decision does not scan it.
    void setListed(target_index target, bool listed);

    /// Marks a target as ejected or reinstated by the outlier detector.
    void setEjected(target_index target, bool ejected);

    /// Sets the failure domains that receive no new work.
    void setExcludedDomains(std::span<const std::string> domains);

    /// Stores a report of the load at \a measuredAt; ignored if it is older than the stored report.
    void report(target_index target, const load_report& load, base::time_point measuredAt);

    /// Records that this entry sends a run with \a prefillTokens to \a target.
    choice_ticket recordChoice(target_index target, int prefillTokens, base::time_point now);

    /// Records that the run of \a ticket ended or was refused.
    void recordEnd(const choice_ticket& ticket, base::time_point now);

    load_estimate estimate(target_index target, base::time_point now) const;

    /// Returns the group that serves \a model; null if there is none.
    const target_group* group(target_kind kind, std::string_view model) const;

    /// Whether new work may be sent to \a target; true for an unreachable target of this region.
    bool isEligible(target_index target) const { return m_blocked[target] == 0; }

    /// Whether \a target may be used only if no other is left.
    bool isLastResort(target_index target) const
    {
        return m_records[target].state == target_state::Unreachable;
    }

    bool isEjected(target_index target) const { return m_blocked[target] == ejectedBit; }
    bool isSameDomain(target_index target) const { return m_records[target].near == proximity::SameDomain; }
    bool isSameRegion(target_index target) const { return m_records[target].near != proximity::OtherRegion; }
    const target_info& info(target_index target) const { return m_records[target].info; }
    target_state state(target_index target) const { return m_records[target].state; }

    /// Returns the index for \a id, or `noTarget`.
    target_index find(std::string_view id) const;

    /// Number of assigned indices, including those of removed targets.
    std::size_t size() const { return m_records.size(); }

private:
    enum class proximity : std::uint8_t { SameDomain, SameRegion, OtherRegion };

    struct choice {
        std::uint64_t sequence;
        base::time_point at;
        int prefillTokens;
    };

    struct record {
        target_info info;
        target_state state = target_state::Serving;
        proximity near = proximity::OtherRegion;
        bool outOfService = false;
        bool listed = true;
        bool ejected = false;
        bool domainExcluded = false;
        bool removed = false;
        bool reported = false;
        load_report load;
        base::time_point measuredAt {};
        std::vector<choice> unreportedChoices; ///< Choices not included in the report, oldest first.
        std::vector<base::time_point> endedRuns; ///< End times of runs that are included in the report.
    };

    using group_key = std::pair<target_kind, std::string>;
    struct key_less {
        using is_transparent = void;
        template <typename A, typename B> bool operator()(const A& a, const B& b) const
        {
            if (a.first != b.first)
                return a.first < b.first;
            return std::string_view(a.second) < std::string_view(b.second);
        }
    };

    static constexpr std::uint8_t outOfServiceBit = 1;
    static constexpr std::uint8_t ejectedBit = 2;

    void updateBlocked(target_index target);
    void link(target_index target);
    void unlink(target_index target);
    std::vector<target_group::member>& membersFor(const record& entry);
    void dropExpired(record& entry, base::time_point now) const;

    options m_options;
    std::uint64_t m_lastSequence = 0;
    std::vector<record> m_records;
    std::vector<std::uint8_t> m_blocked; ///< Separate from the records, since a routing decision scans it.
    std::vector<std::string> m_excludedDomains;
    std::map<std::string, target_index, std::less<>> m_byId;
    std::map<group_key, target_group, key_less> m_groups;
};

} // namespace marigold::routing
