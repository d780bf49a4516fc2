#pragma once

#include <base/base.h>

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Counts the events of the last ten seconds in slots of fixed length.
class sliding_count {
public:
    void add(base::time_point now);

    /// Returns the number of events after `now - span`, without those of a slot that began before.
    int certain(base::time_point now, base::duration span) const;

    /// Returns the number of events after `now - span`, with all of a slot that reaches into the span.
    int possible(base::time_point now, base::duration span) const;

private:
    using slot_time = std::chrono::duration<std::int64_t, std::ratio<1, 4>>;
    static constexpr std::size_t slots = 42; ///< Ten seconds, and the two slots that overlap the ends.

    int since(std::int64_t firstSlot) const;

    std::array<int, slots> m_counts {};
    std::int64_t m_newest = 0; ///< Number of the newest slot that has an event.
};

/// Limits the hedges of each service to a share of its requests, over all processes: this process's part of
/// the limit follows from its own requests, the number of processes and what the others report.
class hedge_limit {
public:
    struct options {
        std::string process = {};
        double maxShare = 0.05; ///< Hedges per request of the service, over all processes.
    };

    explicit hedge_limit(options opts);

    /// Sets the registered processes by id, which divide the limit among them.
    void setProcesses(std::span<const std::string_view> processes);

    void requestArrived(std::string_view service, base::time_point now);
    void hedgeSent(std::string_view service, base::time_point now);

    /// Returns whether this process may hedge one more request of \a service.
    bool allows(std::string_view service, base::time_point now) const;

    /// Returns the encoded report for the other processes: the requests and hedges of each service within
    /// `reportSpan`; empty if there are none.
    std::string report(base::time_point now) const;

    /// Takes in the report of \a process. The bytes may be anything; malformed ones are ignored.
    void reportReceived(std::string_view process, std::string_view bytes, base::time_point now);

    static constexpr base::duration window = std::chrono::seconds(10);
    /// A report covers this time and is used for `reportValidity`, so that with a second of transit no
    /// request in it is older than `window` when it is used.
    static constexpr base::duration reportSpan = std::chrono::seconds(6);
    static constexpr base::duration reportValidity = std::chrono::seconds(3);

private:
    struct counts {
        sliding_count requests;
        sliding_count hedges;
    };
    struct reported_counts {
        int requests = 0;
        int hedges = 0;
    };
    struct peer_report {
        base::time_point at {};
        std::map<std::uint64_t, reported_counts> services; ///< By the hash of the name.
    };

    /// Returns the sum of the valid reports on \a service.
    reported_counts reported(std::string_view service, base::time_point now) const;
    std::size_t rank(std::string_view service) const;

    options m_options;
    std::vector<std::string> m_others; ///< Ids of the other registered processes.
    std::map<std::string, counts, std::less<>> m_services;
    std::map<std::string, peer_report, std::less<>> m_reports; ///< By process.
};

} // namespace marigold::relay
