#include "uniform.h"

#include <outcome/outcome.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace marigold;
using namespace marigold::outcome;
using namespace marigold::outcome::testing;

namespace {

const stream_merger::options smallBounds {
    .maxBufferedChunks = 4, .maxBufferedBytes = 12, .maxTextBytes = 4096
};

/// Splits \a answer at random positions, since each run splits its answer differently.
std::vector<answer_chunk> chunksOf(attempt& run, const std::string& answer, base::random_source& random)
{
    std::vector<answer_chunk> chunks;
    std::size_t position = 0;
    while (position < answer.size()) {
        const std::size_t length = std::min<std::size_t>(random.below(5), answer.size() - position);
        chunks.push_back(run.next(answer.substr(position, length), static_cast<std::uint32_t>(length)));
        position += length;
    }
    chunks.push_back(run.last("", 0,
        { .reason = finish_reason::Stop,
            .usage = { .completionTokens = static_cast<std::uint32_t>(answer.size()) } }));
    return chunks;
}

/// One request with its runs, its merger and the answer that its caller has received.
struct stream_fixture {
    stream_fixture()
        : run(random)
        , merger(run, smallBounds)
    {
        for (int i = 0; i < 30; ++i)
            answer += static_cast<char>('a' + random.below(26));
        chunks = chunksOf(run, answer, random);
    }

    void apply(const merge_step& step)
    {
        RC_ASSERT(!(ended && (!step.deliver.empty() || step.broken)));
        for (const auto& chunk : step.deliver) {
            received += chunk.text;
            tokens += chunk.tokens;
            ended = chunk.end.has_value();
        }
        broken = broken || step.broken.has_value();
        ended = ended || broken;
        RC_ASSERT(answer.starts_with(received));
        RC_ASSERT(tokens == received.size());
        RC_ASSERT((merger.state() == merger_state::Complete) == (ended && !broken));
        if (ended && !broken)
            RC_ASSERT(received == answer && !contradicts);
        RC_ASSERT(merger.bufferedChunks() <= smallBounds.maxBufferedChunks);
        if (step.resume) {
            RC_ASSERT(step.resume->attempt == run.id());
            resumes.push_back(*step.resume);
        }
    }

    void restart(const std::string& text)
    {
        // Text that starts with the delivered part is consistent with what the caller has received.
        contradicts = !text.starts_with(received);
        if (!contradicts)
            answer = text;
        previousChunks.insert(previousChunks.end(), chunks.begin(), chunks.end());
        run = run.restarted(random);
        chunks = chunksOf(run, text, random);
        apply(merger.restart(run));
    }

    void serve(const resume_request& position)
    {
        for (const auto& chunk : chunks)
            if (chunk.sequence > position.afterSequence)
                apply(merger.take(chunk));
    }

    base::random_source random { 11 };
    attempt run;
    stream_merger merger;
    std::string answer;
    std::vector<answer_chunk> chunks; ///< Of the current run.
    std::vector<answer_chunk> previousChunks; ///< Of runs that were replaced.
    std::vector<resume_request> resumes;
    std::string received;
    std::size_t tokens = 0;
    bool ended = false;
    bool broken = false;
    bool contradicts = false; ///< The answer of the current run does not start with the delivered part.
};

struct stream_model {
    bool diverged = false; ///< A restart returned a different answer.
};

enum class stream_step {
    Chunk, ///< Any chunk of the run: early, late, duplicated or in order.
    NextChunk,
    OldChunk, ///< A chunk of a run that was replaced.
    ForeignChunk, ///< A chunk of another request, or with a wrong epoch.
    Resume,
    Restart,
    RestartWithOtherAnswer,
    Reconnect, ///< The caller continues through another entry.
    Last = Reconnect,
};

struct stream_command : rc::state::Command<stream_model, stream_fixture> {
    stream_step step = static_cast<stream_step>(*uniform(0, static_cast<int>(stream_step::Last) + 1));
    std::size_t choice = *uniform<std::size_t>(0, 64);

    void checkPreconditions(const stream_model& model) const override
    {
        RC_PRE(!(model.diverged && (step == stream_step::Restart || step == stream_step::Reconnect)));
    }

    void apply(stream_model& model) const override
    {
        model.diverged = model.diverged || step == stream_step::RestartWithOtherAnswer;
    }

    void run(const stream_model& model, stream_fixture& fixture) const override
    {
        if (step == stream_step::Chunk)
            fixture.apply(fixture.merger.take(fixture.chunks[choice % fixture.chunks.size()]));
        else if (step == stream_step::NextChunk && fixture.merger.resumeRequest())
            takeNext(fixture);
        else if (step == stream_step::OldChunk && !fixture.previousChunks.empty())
            expectDropped(fixture, fixture.previousChunks[choice % fixture.previousChunks.size()]);
        else if (step == stream_step::ForeignChunk)
            takeForeign(fixture);
        else if (step == stream_step::Resume && !fixture.resumes.empty())
            fixture.serve(fixture.resumes[choice % fixture.resumes.size()]);
        else if (step == stream_step::Restart && fixture.merger.canRestart())
            fixture.restart(fixture.answer);
        else if (step == stream_step::RestartWithOtherAnswer && fixture.merger.canRestart())
            fixture.restart(otherAnswer(fixture));
        else if (step == stream_step::Reconnect)
            reconnect(fixture);
        RC_ASSERT(!fixture.broken || model.diverged || step == stream_step::RestartWithOtherAnswer);
    }

    /// An answer that is shorter than the delivered part, or differs from it in one character.
    std::string otherAnswer(const stream_fixture& fixture) const
    {
        std::string text = fixture.answer;
        const std::size_t position = choice / 2 % (fixture.received.size() + 1);
        if (choice % 2 == 0)
            return text.substr(0, position);
        text[std::min(position, text.size() - 1)] = '?';
        return text;
    }

    static void takeNext(stream_fixture& fixture)
    {
        const std::uint64_t next = fixture.merger.resumeRequest()->afterSequence;
        if (next < fixture.chunks.size())
            fixture.apply(fixture.merger.take(fixture.chunks[next]));
    }

    static void expectDropped(stream_fixture& fixture, const answer_chunk& chunk)
    {
        const std::uint64_t before = fixture.merger.droppedChunks();
        const merge_step step = fixture.merger.take(chunk);
        RC_ASSERT(step.deliver.empty() && !step.broken && !step.resume);
        RC_ASSERT(fixture.merger.droppedChunks() == before + 1);
    }

    void takeForeign(stream_fixture& fixture) const
    {
        answer_chunk chunk = fixture.chunks[choice % fixture.chunks.size()];
        chunk.text = "!";
        if (choice % 2 == 0)
            chunk.attempt = randomId(fixture.random);
        else
            ++chunk.epoch;
        expectDropped(fixture, chunk);
    }

    static void reconnect(stream_fixture& fixture)
    {
        const auto position = fixture.merger.resumeRequest();
        // While a restarted run repeats the delivered part, the caller has no event id of that run.
        const bool catchingUp = position && position->afterSequence < fixture.chunks.size()
            && suppressedText(fixture, position->afterSequence) != fixture.received;
        if (!position || catchingUp)
            return;
        fixture.merger = stream_merger(*position, smallBounds);
        RC_ASSERT(fixture.merger.canRestart() == (position->afterSequence == 0));
    }

    static std::string suppressedText(const stream_fixture& fixture, std::uint64_t sequence)
    {
        std::string text;
        for (std::uint64_t i = 0; i < sequence; ++i)
            text += fixture.chunks[i].text;
        return text;
    }

    void show(std::ostream& os) const override { os << static_cast<int>(step) << "(" << choice << ")"; }
};

} // namespace

TEST_CASE("a caller's stream is always a prefix of its own answer, and complete if marked as complete")
{
    // Guards against lost, duplicated, reordered and foreign chunks, also of other requests (I2, I6), and
    // against a restarted run whose different answer is appended to the delivered part.
    CHECK(rc::check("stream merger", [] {
        stream_fixture fixture;
        rc::state::check(stream_model {}, fixture, rc::state::gen::execOneOfWithArgs<stream_command>());
        // A run that can be read to its end must complete the stream or end it with an error.
        if (const auto position = fixture.merger.resumeRequest())
            fixture.serve(*position);
        RC_ASSERT(fixture.merger.state() != merger_state::Streaming);
    }));
}

TEST_CASE("the answer is complete after loss, duplication and reordering with the requested resumes")
{
    // Guards against a gap that is never requested, which would block the stream with buffered chunks.
    CHECK(rc::check("network", [](std::uint64_t seed) {
        stream_fixture fixture;
        base::random_source network(seed);
        std::vector<answer_chunk> sent = fixture.chunks;
        std::size_t rounds = 0;
        while (!fixture.ended) {
            RC_ASSERT(++rounds < 200U);
            std::vector<answer_chunk> arriving;
            for (const auto& chunk : sent)
                for (std::uint64_t copies = network.below(3); copies > 0; --copies)
                    arriving.insert(
                        arriving.begin() + static_cast<std::ptrdiff_t>(network.below(arriving.size() + 1)),
                        chunk);
            fixture.resumes.clear();
            for (const auto& chunk : arriving)
                fixture.apply(fixture.merger.take(chunk));
            // A resume request or its answer may be lost as well; after a timeout the reader sends another
            // one.
            const auto position = fixture.resumes.empty() || network.below(2) == 0
                ? fixture.merger.resumeRequest()
                : fixture.resumes.back();
            sent.clear();
            for (const auto& chunk : fixture.chunks)
                if (position && chunk.sequence > position->afterSequence)
                    sent.push_back(chunk);
        }
        RC_ASSERT(fixture.received == fixture.answer);
    }));
}

TEST_CASE("a gap is requested once, from the last delivered chunk")
{
    // Guards against a resume request for each chunk that arrives beyond a gap.
    base::random_source random(5);
    attempt run(random);
    stream_merger merger(run);
    std::vector<answer_chunk> chunks(5);
    for (auto& chunk : chunks)
        chunk = run.next("x", 1);
    CHECK_FALSE(merger.take(chunks[0]).resume.has_value());
    const auto first = merger.take(chunks[2]);
    REQUIRE(first.resume.has_value());
    CHECK(first.resume->afterSequence == 1);
    CHECK_FALSE(merger.take(chunks[3]).resume.has_value());
    CHECK(merger.take(chunks[1]).deliver.size() == 3);
}

TEST_CASE("a stream that cannot be continued ends with exactly one error")
{
    // Guards against a stream that is truncated without an error.
    base::random_source random(6);
    attempt run(random);
    stream_merger merger(
        stream_merger(resume_request { .attempt = run.id(), .epoch = 0, .afterSequence = 3 }, smallBounds));
    const auto step = merger.restart(run.restarted(random));
    REQUIRE(step.broken.has_value());
    CHECK(step.broken->reason == base::error_reason::StreamBroken);
    CHECK(step.broken->verdict != base::verdict::NotRun);
    CHECK(merger.state() == merger_state::Broken);
    CHECK_FALSE(merger.breakStream({}).broken.has_value());
    CHECK_FALSE(merger.resumeRequest().has_value());
}
