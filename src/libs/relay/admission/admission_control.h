#pragma once

#include "demand_section.h"
#include "return_schedule.h"
#include "start_forecast.h"
#include "team_usage.h"
#include "wait_queue.h"

#include <base/base.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Decides which requests are served first and which are refused early when capacity is short; see
/// docs/design/admission.md. All state is local; digests of the peers only refine it.
class admission_control final : public queue_policy {
public:
    struct options {
        /// Share of an expected wait that counts for a refusal; the rest covers the error of the estimate.
        double waitMargin = 0.8;
        /// Usage of a team, as a multiple of the mean, above which its returns do not go first. With 1.5, two
        /// teams with weights of 1 and 3 were served as 1 to 1.8.
        double overShare = 1;
        /// Share of the started capacity time that is reserved for requests that have waited for long.
        double agedShare = 0.1;
        /// Share of the time to its latest start after which a request counts as one of them.
        double agedAfter = 0.5;
        /// Time after which a class without queued requests loses its credit.
        base::duration creditKept = std::chrono::seconds(1);
        /// Longest time for which other requests are held back for one of them.
        base::duration holdTime = std::chrono::milliseconds(100);
        start_forecast::options forecast = {};
        team_usage::options usage = {};
        return_schedule::options returns = {};
        section_budget::options sections = {};
    };

    admission_control(const base::clock& time, base::random_source& random, options opts);

    /// Records the arrival of \a request.
    void requestArrived(const waiting_request& request);

    /// Records that \a request was sent to a target.
    void requestStarted(const waiting_request& request);

    /// Returns how a request with \a fingerprint relates to earlier refusals.
    return_kind recognise(std::uint32_t fingerprint) const;

    /// Returns the time after which a caller should retry when \a usual is the expected time and its request
    /// ends after \a remaining, and remembers it for the return. \a fingerprint may be 0.
    base::duration retryAfter(std::uint32_t fingerprint, base::duration usual, base::duration remaining);

    void order(std::vector<waiting_request*>& queued, base::time_point now) override;
    bool goesBefore(
        const waiting_request& queued, const waiting_request& arriving, base::time_point now) const override;
    bool isHeldFor(const waiting_request& request, base::time_point now) const override;
    std::vector<std::pair<waiting_request*, early_refusal>> review(
        std::span<waiting_request* const> remaining, base::time_point now) override;
    void refused(const waiting_request& request, early_refusal& refusal, base::time_point now) override;

    /// Returns the section of the digests, element 8; empty if there is nothing to say or no budget.
    std::string writeSection();

    /// Handles the section of the peer \a process.
    void readSection(std::string_view process, std::string_view bytes);

    /// Sets the number of processes that receive one section.
    void setReceivers(std::size_t receivers) { m_sections.setReceivers(receivers); }

    /// Removes what is no longer needed. To be called periodically.
    void removeExpired();

    /// Returns the queues, drains and shares in force as text, for operators.
    std::string describe() const;

private:
    struct queued_request {
        waiting_request* request = nullptr;
        admission_terms terms;
        bool isLate = false;
        int urgency = 0;
        std::string_view service;
    };
    /// Requests of one service that have waited for long.
    struct ageing {
        struct class_credit {
            double value = 0; ///< Capacity time in ms.
            base::time_point queuedAt {}; ///< When a request of the class was queued last.
        };
        std::unordered_map<start_forecast::class_id, class_credit> credit;
        const waiting_request* first = nullptr; ///< Goes before all others; compared only, never accessed.
        base::time_point firstSince {};
    };
    /// The part of a class that is before a request.
    struct class_queue {
        std::size_t requests = 0;
        double cost = 0;
    };

    start_forecast::class_id classOf(const waiting_request& request);
    void orderGroup(std::span<queued_request> group, base::time_point now) const;
    void promoteAged(std::vector<queued_request>& queued, base::time_point now);
    bool isAged(const queued_request& item, base::time_point now) const;
    std::optional<base::duration> expectedWait(
        const waiting_request& request, const class_queue& ahead, base::time_point now);

    const base::clock& m_clock;
    options m_options;
    start_forecast m_forecast;
    team_usage m_usage;
    return_schedule m_returns;
    section_budget m_sections;
    std::map<std::string, ageing, std::less<>> m_ageing; ///< By service.
    std::unordered_map<start_forecast::class_id, base::time_point> m_lastStart;
    std::unordered_map<start_forecast::class_id, double> m_queued; ///< Capacity time in ms.
};

} // namespace marigold::relay
