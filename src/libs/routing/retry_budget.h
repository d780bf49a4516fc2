#pragma once

#include <cstdint>

namespace marigold::routing {

/// Limits retries and hedges to a share of the requests, so that they do not multiply the load in an outage.
///
/// At any moment, retries and hedges together are at most `initial` + requests x `percent` / 100.
class retry_budget {
public:
    struct options {
        int percent = 10; ///< Of requests.
        int initial = 3; ///< Retries available at the start, for a process with few requests.
        int capacity = 100; ///< Maximum number of saved retries; limits the burst at the start of an outage.
        int reservedForRetries = 1; ///< Retries that hedges must leave, since a retry is more important.
    };

    explicit retry_budget(options opts);
    retry_budget()
        : retry_budget(options {})
    {
    }

    /// Sets the maximum number of saved retries; any excess is lost.
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
