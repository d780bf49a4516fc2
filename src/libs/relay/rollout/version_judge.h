#pragma once

#include "version_report.h"

#include <optional>

namespace marigold::relay {

/// Judges the new version of a service by its answers, compared with those that the other version has given
/// on the same routes since the request.
///
/// An answer is bad if it failed or took several times the median of the other version. For each route, and
/// for all together, a cumulative sum of log-likelihood ratios (CUSUM, Page 1954) compares the share of bad
/// answers of the other version with a share that is higher by `rise`. The sum never falls below zero, so
/// that a fault that appears late is found as fast as one from the start.
class version_judge {
public:
    struct options {
        double rise = 0.2;
        /// Sum at which a version is bad. A sound version reaches it in fewer than one of e^12 / answers
        /// roll-outs for each route (Wald's bound), whatever its ordinary share of failures.
        double alarm = 12;
        /// An answer is slow from this many buckets above the median, which is two to three times as long.
        std::size_t slowBuckets = 3;
        /// Answers of the other version on a route before its times and failures are compared with.
        std::int64_t minUsual = 8;
        /// A version with this many bad answers is bad if their share exceeds the other's by four standard
        /// deviations, even if it rises too little for the sum. It is below the number of bad answers after
        /// which the requests to a bad version must end.
        std::int64_t backstopBad = 30;
        double backstopDeviations = 4;
    };

    explicit version_judge(const options& opts);

    /// Updates the verdict; \a answers are the sums over all processes since the request.
    void update(const answers_by_route& answers);

    struct verdict {
        std::uint64_t route = 0; ///< Hash of the route's name; 0 for all together.
        std::int64_t answers = 0; ///< Of the new version there.
        std::int64_t bad = 0;
        double usualShare = 0; ///< Share of bad answers of the other version.
    };

    /// Returns why the version is bad; empty as long as it is not.
    const std::optional<verdict>& bad() const { return m_bad; }

    /// Returns the number of answers of the new version that have been judged.
    std::int64_t judged() const { return m_all.answers; }

private:
    struct track {
        double sum = 0;
        std::int64_t answers = 0;
        std::int64_t bad = 0;
        answer_counts seen;
    };

    void add(track& at, std::uint64_t route, std::int64_t answers, std::int64_t bad,
        std::int64_t usualAnswers, std::int64_t usualBad);

    options m_options;
    std::map<std::uint64_t, track> m_routes;
    track m_all;
    std::optional<verdict> m_bad;
};

} // namespace marigold::relay
