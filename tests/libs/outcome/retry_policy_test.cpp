#include "uniform.h"

#include <outcome/outcome.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::outcome;
using namespace marigold::outcome::testing;
using base::verdict;
using namespace std::chrono_literals;

namespace {

struct fault_case {
    const char* fault;
    call_kind kind;
    base::verdict verdict;
    bool resumable;
    bool delivered;
    bool temperatureZero;
    bool sameVersion;
    retry_action action;
};

using enum retry_action;
using enum call_kind;

const std::vector<fault_case> faults {
    { "order refused by admission", NonIdempotent, verdict::NotRun, false, false, false, false, Retry },
    { "order sent, connection broke", NonIdempotent, verdict::MayHaveRun, false, false, false, false,
        Abandon },
    { "order answered with an error", NonIdempotent, verdict::Ran, false, false, false, false, Abandon },
    { "lookup refused", Idempotent, verdict::NotRun, false, false, false, false, Retry },
    { "lookup sent, connection broke", Idempotent, verdict::MayHaveRun, false, false, false, false, Retry },
    { "lookup answered with an error", Idempotent, verdict::Ran, false, false, false, false, Abandon },
    { "stream refused", Stream, verdict::NotRun, false, false, false, false, Retry },
    { "resume refused, run held", Stream, verdict::NotRun, true, true, false, false, Resume },
    { "restart refused, same answer", Stream, verdict::NotRun, false, true, true, true, Restart },
    { "restart refused, other answer", Stream, verdict::NotRun, false, true, false, true, Abandon },
    { "agent died, run held", Stream, verdict::MayHaveRun, true, true, false, false, Resume },
    { "agent died before a chunk", Stream, verdict::MayHaveRun, false, false, false, false, Restart },
    { "agent died, same answer", Stream, verdict::MayHaveRun, false, true, true, true, Restart },
    { "agent died, weights swapped", Stream, verdict::MayHaveRun, false, true, true, false, Abandon },
    { "agent died, sampling", Stream, verdict::MayHaveRun, false, true, false, true, Abandon },
    { "answer complete", Stream, verdict::Ran, true, true, true, true, Abandon },
};

failed_attempt failureOf(const fault_case& item)
{
    return { .kind = item.kind,
        .verdict = item.verdict,
        .runResumable = item.resumable,
        .delivered = item.delivered,
        .temperatureZero = item.temperatureZero,
        .sameVersion = item.sameVersion,
        .attemptsMade = 1,
        .remaining = 1s,
        .budgetAllows = true };
}

} // namespace

TEST_CASE("each fault leads to the expected retry action")
{
    // Guards against an order that runs twice and against a stream that ends although it could be continued.
    const retry_policy policy;
    for (const auto& item : faults) {
        CAPTURE(item.fault);
        const failed_attempt failure = failureOf(item);
        CHECK(policy.decide(failure).action == item.action);
        failed_attempt late = failure;
        late.remaining = 10ms;
        CHECK(policy.decide(late).action == Abandon);
        failed_attempt longWait = failure;
        longWait.retryAfter = 2s;
        CHECK(policy.decide(longWait).action == Abandon);
        failed_attempt overBudget = failure;
        overBudget.budgetAllows = false;
        CHECK(policy.decide(overBudget).action == (item.action == Resume ? Resume : Abandon));
        failed_attempt exhausted = failure;
        exhausted.attemptsMade = 3;
        CHECK(policy.decide(exhausted).action == Abandon);
    }
}

TEST_CASE("no decision repeats a call that must not be repeated, and no timeout exceeds the deadline")
{
    // Guards against combinations of inputs that the decision table does not cover.
    CHECK(rc::check("all combinations", [] {
        const auto flag = rc::gen::arbitrary<bool>();
        const failed_attempt failure { .kind = static_cast<call_kind>(*uniform(0, 3)),
            .verdict = static_cast<verdict>(*uniform(0, 3)),
            .runResumable = *flag,
            .delivered = *flag,
            .temperatureZero = *flag,
            .sameVersion = *flag,
            .attemptsMade = *uniform(1, 5),
            .remaining = std::chrono::milliseconds(*uniform(-1000, 5000)),
            .retryAfter = std::chrono::milliseconds(*uniform(0, 1000)),
            .budgetAllows = *flag };
        const retry_decision next = retry_policy().decide(failure);
        RC_ASSERT((next.action == Abandon) == (next.timeout == base::duration::zero()));
        RC_ASSERT(next.timeout <= std::max(failure.remaining, base::duration::zero()));
        if (next.action == Abandon)
            return;
        RC_ASSERT(failure.verdict != verdict::Ran);
        RC_ASSERT(failure.kind != NonIdempotent || failure.verdict == verdict::NotRun);
        RC_ASSERT(failure.kind == Stream || next.action == Retry);
        if (failure.kind == Stream && failure.delivered && next.action != Resume)
            RC_ASSERT(next.action == Restart && failure.temperatureZero && failure.sameVersion);
    }));
}

TEST_CASE("the final verdict is not_run only if every attempt was not_run")
{
    // Guards against a final not_run although the first attempt may have run, because only the refusal of the
    // second attempt is reported (I7).
    CHECK(rc::check("tally", [] {
        const auto results = *rc::gen::container<std::vector<int>>(uniform(0, 4));
        attempt_tally tally;
        bool everyNotRun = true;
        bool anyRan = false;
        for (const int result : results) {
            tally.started();
            everyNotRun = everyNotRun && result == 0;
            anyRan = anyRan || result == 2;
            if (result < 3) // 3: the attempt is still open
                tally.failed({ .verdict = static_cast<verdict>(result), .message = "failed" });
        }
        RC_ASSERT((tally.verdict() == verdict::NotRun) == everyNotRun);
        RC_ASSERT((tally.verdict() == verdict::Ran) == anyRan);
        RC_ASSERT(tally.finalError().verdict == tally.verdict());
    }));
}
