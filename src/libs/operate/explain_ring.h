#pragma once

#include <base/base.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::operate {

/// A target that was considered for a request.
struct explain_candidate {
    std::string target;
    double costMs = 0; ///< Expected time to first token in ms.
    std::string reason = {}; ///< Why it was preferred or skipped.
};

/// One routing decision.
struct explain_decision {
    base::duration at { 0 }; ///< Since the arrival of the request.
    std::string chosen = {}; ///< Empty if no candidate was left.
    std::vector<explain_candidate> candidates = {};
};

/// One attempt at a target.
struct explain_attempt {
    std::string target;
    base::duration start { 0 }; ///< Since the arrival of the request.
    base::duration elapsed { 0 };
    base::verdict verdict = base::verdict::NotRun;
    std::string reason = {}; ///< Wire name of the error reason; empty if the attempt succeeded.
};

/// Stores the routing decisions of the latest requests in memory, so that an operator can see why a request
/// was sent to a target. The oldest requests are evicted when the number of requests or bytes exceeds its
/// limit.
class explain_ring {
public:
    struct options {
        std::size_t requests = 8192;
        std::size_t bytes = 4'194'304; ///< Part of the 64 MB that the control plane of a node may use.
        std::size_t candidates = 8; ///< Stored for each decision; others are only counted.
        std::size_t decisions = 8; ///< Stored for each request, the first ones; others are only counted.
        std::size_t attempts = 8; ///< Stored for each request, the first ones; others are only counted.
        std::size_t textBytes = 160; ///< Each text is truncated to this length.
    };

    explicit explain_ring(const base::clock& time)
        : explain_ring(options {}, time)
    {
    }

    explain_ring(options opts, const base::clock& time);

    /// Starts the record of \a requestId; \a subject is the model or service. Replaces a record with the same
    /// id.
    void begin(std::string_view requestId, std::string_view team, std::string_view subject);

    /// Adds to the record of \a requestId; ignored if there is none.
    void addDecision(std::string_view requestId, explain_decision decision);
    void addAttempt(std::string_view requestId, explain_attempt attempt);
    void finish(std::string_view requestId, base::verdict verdict, std::string_view reason);

    /// Returns the record as a JSON object; empty if it is unknown or was evicted.
    std::optional<std::string> find(std::string_view requestId) const;

    std::size_t size() const { return m_index.size(); }

    /// Returns the estimated memory usage of all records in bytes.
    std::size_t bytes() const { return m_bytes; }

private:
    struct stored_decision {
        explain_decision decision;
        std::size_t omittedCandidates = 0;
    };

    struct record {
        std::string requestId;
        std::string team;
        std::string subject;
        base::wall_time arrival;
        base::time_point start;
        std::vector<stored_decision> decisions;
        std::vector<explain_attempt> attempts;
        std::size_t omittedDecisions = 0;
        std::size_t omittedAttempts = 0;
        std::optional<base::verdict> verdict;
        std::string reason;
        base::duration elapsed { 0 };
        std::size_t bytes = 0;
        bool replaced = false; ///< A later record has the same id.
    };

    record* lookup(std::string_view requestId);
    const record* lookup(std::string_view requestId) const;
    std::string truncate(std::string_view text) const;
    void account(record& entry, std::size_t added);
    void evict();

    options m_options;
    const base::clock& m_clock;
    std::deque<record> m_records; ///< Oldest first; the first one has the sequence number `m_first`.
    std::uint64_t m_first = 0;
    std::unordered_map<std::string, std::uint64_t> m_index; ///< Request id to sequence number.
    std::size_t m_bytes = 0;
};

} // namespace marigold::operate
