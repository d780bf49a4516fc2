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
    .maxBufferedPieces = 4, .maxBufferedBytes = 12, .maxTextBytes = 4096
};

/// Splits \a answer at random positions, since each run splits its answer differently.
std::vector<answer_piece> piecesOf(attempt& run, const std::string& answer, base::random_source& random)
{
    std::vector<answer_piece> pieces;
    std::size_t position = 0;
    while (position < answer.size()) {
        const std::size_t length = std::min<std::size_t>(random.below(5), answer.size() - position);
        pieces.push_back(run.next(answer.substr(position, length), static_cast<std::uint32_t>(length)));
        position += length;
    }
    pieces.push_back(run.last("", 0,
        { .reason = finish_reason::Stop,
            .usage = { .completionTokens = static_cast<std::uint32_t>(answer.size()) } }));
    return pieces;
}

/// One request with its runs, its merger and the answer that its caller has received.
struct stream_fixture {
    stream_fixture()
        : run(random)
        , merger(run, smallBounds)
    {
        for (int i = 0; i < 30; ++i)
            answer += static_cast<char>('a' + random.below(26));
        pieces = piecesOf(run, answer, random);
    }

    void apply(const merge_step& step)
    {
        RC_ASSERT(!(ended && (!step.deliver.empty() || step.broken)));
        for (const auto& piece : step.deliver) {
            received += piece.text;
            tokens += piece.tokens;
            ended = piece.end.has_value();
        }
        broken = broken || step.broken.has_value();
        ended = ended || broken;
        RC_ASSERT(answer.starts_with(received));
        RC_ASSERT(tokens == received.size());
        RC_ASSERT((merger.state() == merger_state::Complete) == (ended && !broken));
        if (ended && !broken)
            RC_ASSERT(received == answer && !contradicts);
        RC_ASSERT(merger.bufferedPieces() <= smallBounds.maxBufferedPieces);
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
        previousPieces.insert(previousPieces.end(), pieces.begin(), pieces.end());
        run = run.restarted(random);
        pieces = piecesOf(run, text, random);
        apply(merger.restart(run));
    }

    void serve(const resume_request& position)
    {
        for (const auto& piece : pieces)
            if (piece.sequence > position.afterSequence)
                apply(merger.take(piece));
    }

    base::random_source random { 11 };
    attempt run;
    stream_merger merger;
    std::string answer;
    std::vector<answer_piece> pieces; ///< Of the current run.
    std::vector<answer_piece> previousPieces; ///< Of runs that were replaced.
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
    Piece, ///< Any piece of the run: early, late, duplicated or in order.
    NextPiece,
    OldPiece, ///< A piece of a run that was replaced.
    ForeignPiece, ///< A piece of another request, or with a wrong epoch.
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
        if (step == stream_step::Piece)
            fixture.apply(fixture.merger.take(fixture.pieces[choice % fixture.pieces.size()]));
        else if (step == stream_step::NextPiece && fixture.merger.resumeRequest())
            takeNext(fixture);
        else if (step == stream_step::OldPiece && !fixture.previousPieces.empty())
            expectDropped(fixture, fixture.previousPieces[choice % fixture.previousPieces.size()]);
        else if (step == stream_step::ForeignPiece)
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
        if (next < fixture.pieces.size())
            fixture.apply(fixture.merger.take(fixture.pieces[next]));
    }

    static void expectDropped(stream_fixture& fixture, const answer_piece& piece)
    {
        const std::uint64_t before = fixture.merger.droppedPieces();
        const merge_step step = fixture.merger.take(piece);
        RC_ASSERT(step.deliver.empty() && !step.broken && !step.resume);
        RC_ASSERT(fixture.merger.droppedPieces() == before + 1);
    }

    void takeForeign(stream_fixture& fixture) const
    {
        answer_piece piece = fixture.pieces[choice % fixture.pieces.size()];
        piece.text = "!";
        if (choice % 2 == 0)
            piece.attempt = randomId(fixture.random);
        else
            ++piece.epoch;
        expectDropped(fixture, piece);
    }

    static void reconnect(stream_fixture& fixture)
    {
        const auto position = fixture.merger.resumeRequest();
        // While a restarted run repeats the delivered part, the caller has no event id of that run.
        const bool catchingUp = position && position->afterSequence < fixture.pieces.size()
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
            text += fixture.pieces[i].text;
        return text;
    }

    void show(std::ostream& os) const override { os << static_cast<int>(step) << "(" << choice << ")"; }
};

} // namespace

TEST_CASE("a caller's stream is always a prefix of its own answer, and complete if marked as complete")
{
    // Guards against lost, duplicated, reordered and foreign pieces, also of other requests (I2, I6), and
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
    // Guards against a gap that is never requested, which would block the stream with buffered pieces.
    CHECK(rc::check("network", [](std::uint64_t seed) {
        stream_fixture fixture;
        base::random_source network(seed);
        std::vector<answer_piece> sent = fixture.pieces;
        std::size_t rounds = 0;
        while (!fixture.ended) {
            RC_ASSERT(++rounds < 200U);
            std::vector<answer_piece> arriving;
            for (const auto& piece : sent)
                for (std::uint64_t copies = network.below(3); copies > 0; --copies)
                    arriving.insert(
                        arriving.begin() + static_cast<std::ptrdiff_t>(network.below(arriving.size() + 1)),
                        piece);
            fixture.resumes.clear();
            for (const auto& piece : arriving)
                fixture.apply(fixture.merger.take(piece));
            // A resume request or its answer may be lost as well; after a timeout the reader sends another
            // one.
            const auto position = fixture.resumes.empty() || network.below(2) == 0
                ? fixture.merger.resumeRequest()
                : fixture.resumes.back();
            sent.clear();
            for (const auto& piece : fixture.pieces)
                if (position && piece.sequence > position->afterSequence)
                    sent.push_back(piece);
        }
        RC_ASSERT(fixture.received == fixture.answer);
    }));
}

TEST_CASE("a gap is requested once, from the last delivered piece")
{
    // Guards against a resume request for each piece that arrives beyond a gap.
    base::random_source random(5);
    attempt run(random);
    stream_merger merger(run);
    std::vector<answer_piece> pieces(5);
    for (auto& piece : pieces)
        piece = run.next("x", 1);
    CHECK_FALSE(merger.take(pieces[0]).resume.has_value());
    const auto first = merger.take(pieces[2]);
    REQUIRE(first.resume.has_value());
    CHECK(first.resume->afterSequence == 1);
    CHECK_FALSE(merger.take(pieces[3]).resume.has_value());
    CHECK(merger.take(pieces[1]).deliver.size() == 3);
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
