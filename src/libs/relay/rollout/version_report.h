#pragma once

#include <base/base.h>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Answers of one version on one route, by outcome and time.
struct answer_counts {
    /// Times are counted in buckets of half an octave, from 1 ms to a minute.
    static constexpr std::size_t bucketsPerOctave = 2;
    static constexpr std::size_t buckets = 34;

    std::int64_t failed = 0; ///< Server errors, and answers that were lost, broken off or late.
    std::array<std::int64_t, buckets> byTime {}; ///< All other answers.

    /// Returns the bucket of an answer that took \a time.
    static std::size_t bucketOf(base::duration time);

    std::int64_t total() const;

    /// Returns the number of answers that failed or are in \a slowFrom or a later bucket.
    std::int64_t bad(std::size_t slowFrom) const;

    /// Returns the bucket of the median of the answers that have not failed.
    std::size_t median() const;

    answer_counts& operator+=(const answer_counts& other);

    /// Returns the answers that \a earlier does not have; a decrease counts as none.
    answer_counts since(const answer_counts& earlier) const;

    bool operator==(const answer_counts&) const = default;
};

/// Answers of the two versions of a service on one route.
struct route_answers {
    answer_counts usual;
    answer_counts candidate;

    bool operator==(const route_answers&) const = default;
};

/// By the hash of the route's name.
using answers_by_route = std::map<std::uint64_t, route_answers>;

/// Shares of a service's requests that its new version gets.
enum class rollout_phase {
    Observing, ///< Within the limit for versions that have not been judged.
    Quarter,
    Half,
    All,
};

/// Returns the snake-case name of \a phase.
std::string_view nameOf(rollout_phase phase);

/// What one process knows of a roll-out.
struct version_report {
    std::uint64_t service = 0; ///< Hash of its name.
    std::uint64_t request = 0; ///< Revision of the request.
    base::duration age { 0 }; ///< Time since the request.
    rollout_phase phase = rollout_phase::Observing;
    bool isBad = false; ///< The new version has been judged bad.
    std::int64_t usualUnfinished = 0; ///< Requests of the process at targets of other versions.
    std::int64_t exposed = 0; ///< Requests that the process has sent to the new version.
    std::set<std::uint64_t> usualVersions = {}; ///< Hashes of the versions in use before; empty if unknown.
    answers_by_route answers = {}; ///< Of the process, since the request.

    bool operator==(const version_report&) const = default;
};

/// Encodes \a reports as MessagePack.
std::string encodeReports(std::span<const version_report> reports);

/// Decodes the output of `encodeReports`; returns `InvalidRequest` for any other bytes.
base::result<std::vector<version_report>> decodeReports(std::string_view bytes);

} // namespace marigold::relay
