#pragma once

#include <cstdint>

namespace marigold::routing {

/// Bounds the attempts beyond the first one to a share of the requests, so that an outage is not multiplied.
///
/// At any moment, retries and hedges together are at most `initial` + requests x `percent` / 100.
class retry_budget {
public:
    struct options {
        int percent = 10; ///< Of requests.
        int initial = 3; ///< Retries at hand at the start, for a process with few requests.
        int capacity
            = 100; ///< Most retries that can be saved up; limits the burst at the start of an outage.
        int keptForRetries = 1; ///< Hedges leave this many, since a retry matters more than a hedge.
    };

    explicit retry_budget(options opts);
    retry_budget()
        : retry_budget(options {})
    {
    }

    /// Sets the most retries that can be saved up; those above it are lost.
    void setCapacity(int capacity);

    /// Records a first attempt.
    void addRequest();

    /// Takes one retry; false when the budget is used up.
    bool tryRetry();

    /// Takes one hedge for a call; always false for a call that is not idempotent.
    bool tryHedge(bool idempotent);

    /// Number of attempts that could be made now.
    int available() const { return static_cast<int>(m_balance / unit); }

private:
    static constexpr std::int64_t unit = 100; ///< One attempt, in percent of an attempt.

    options m_options;
    std::int64_t m_balance;
};

} // namespace marigold::routing
