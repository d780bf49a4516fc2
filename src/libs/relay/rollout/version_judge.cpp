#include "version_judge.h"

#include <algorithm>
#include <cmath>

namespace marigold::relay {

namespace {

/// Estimates a share from \a bad of \a answers. The added counts keep few answers without a bad one from
/// standing for a version that never fails.
double estimatedShare(std::int64_t bad, std::int64_t answers)
{
    constexpr double addedBad = 1;
    constexpr double addedAnswers = 8;
    constexpr double smallest = 0.01;
    return std::max(
        smallest, (static_cast<double>(bad) + addedBad) / (static_cast<double>(answers) + addedAnswers));
}

} // namespace

version_judge::version_judge(const options& opts)
    : m_options(opts)
{
}

void version_judge::add(track& at, std::uint64_t route, std::int64_t answers, std::int64_t bad,
    std::int64_t usualAnswers, std::int64_t usualBad)
{
    if (answers <= 0)
        return;
    constexpr double largestShare = 0.95;
    const double usual = std::min(estimatedShare(usualBad, usualAnswers), largestShare - m_options.rise);
    const double raised = usual + m_options.rise;
    at.answers += answers;
    at.bad += bad;
    at.sum = std::max(0.0,
        at.sum + static_cast<double>(bad) * std::log(raised / usual)
            + static_cast<double>(answers - bad) * std::log((1 - raised) / (1 - usual)));
    const auto all = static_cast<double>(at.answers);
    // The share of the other version is an estimate as well.
    const double deviation
        = std::sqrt(all * usual * (1 - usual) * (1 + all / static_cast<double>(usualAnswers)));
    const bool isBackstop = at.bad >= m_options.backstopBad
        && static_cast<double>(at.bad) - all * usual > m_options.backstopDeviations * deviation;
    if (!m_bad && (at.sum >= m_options.alarm || isBackstop))
        m_bad = verdict { .route = route, .answers = at.answers, .bad = at.bad, .usualShare = usual };
}

void version_judge::update(const answers_by_route& answers)
{
    std::int64_t usualAnswers = 0;
    std::int64_t usualBad = 0;
    std::int64_t addedAnswers = 0;
    std::int64_t addedBad = 0;
    for (const auto& [route, both] : answers) {
        if (both.usual.total() < m_options.minUsual)
            continue; // Its answers are judged once there is something to compare them with.
        const std::size_t slowFrom = both.usual.median() + m_options.slowBuckets;
        track& at = m_routes[route];
        const answer_counts added = both.candidate.since(at.seen);
        at.seen = both.candidate;
        add(at, route, added.total(), added.bad(slowFrom), both.usual.total(), both.usual.bad(slowFrom));
        usualAnswers += both.usual.total();
        usualBad += both.usual.bad(slowFrom);
        addedAnswers += added.total();
        addedBad += added.bad(slowFrom);
    }
    add(m_all, 0, addedAnswers, addedBad, usualAnswers, usualBad);
}

} // namespace marigold::relay
