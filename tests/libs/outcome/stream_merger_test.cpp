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

const stream_merger::options smallBounds { .maxHeldPieces = 4, .maxHeldBytes = 12, .maxTextBytes = 4096 };

/// Splits \a answer at random places, as a run of its own pace does.
std::vector<answer_piece> piecesOf(attempt& run, const std::string& answer, base::random_source& random)
{
    std::vector<answer_piece> pieces;
    std::size_t place = 0;
    while (place < answer.size()) {
        const std::size_t length = std::min<std::size_t>(random.below(5), answer.size() - place);
        pieces.push_back(run.next(answer.substr(place, length), static_cast<std::uint32_t>(length)));
        place += length;
    }
    pieces.push_back(run.last("", 0,
        { .reason = finish_reason::Stop,
            .usage = { .completionTokens = static_cast<std::uint32_t>(answer.size()) } }));
    return pieces;
}

/// One request: the runs that exist for it, the merger, and what its caller has received.
struct stream_world {
    stream_world()
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
        RC_ASSERT(merger.heldPieces() <= smallBounds.maxHeldPieces);
        if (step.resume) {
            RC_ASSERT(step.resume->attempt == run.id());
            resumes.push_back(*step.resume);
        }
    }

    void restart(const std::string& text)
    {
        // Text that continues the delivered part contradicts nothing that the caller has seen.
        contradicts = !text.starts_with(received);
        if (!contradicts)
            answer = text;
        older.insert(older.end(), pieces.begin(), pieces.end());
        run = run.restarted(random);
        pieces = piecesOf(run, text, random);
        apply(merger.restart(run));
    }

    void serve(const resume_request& place)
    {
        for (const auto& piece : pieces)
            if (piece.sequence > place.afterSequence)
                apply(merger.take(piece));
    }

    base::random_source random { 11 };
    attempt run;
    stream_merger merger;
    std::string answer;
    std::vector<answer_piece> pieces; ///< Of the run that is followed.
    std::vector<answer_piece> older; ///< Of runs that were left.
    std::vector<resume_request> resumes;
    std::string received;
    std::size_t tokens = 0;
    bool ended = false;
    bool broken = false;
    bool contradicts = false; ///< The run that is followed cannot continue the delivered part.
};

struct stream_model {
    bool diverged = false; ///< A restart gave another answer.
};

enum class stream_step {
    Piece, ///< Any piece of the run: early, late, doubled or in turn.
    NextPiece,
    OldPiece, ///< A piece of a run that was left.
    ForeignPiece, ///< A piece of another request, or with a wrong epoch.
    Resume,
    Restart,
    RestartWithOtherAnswer,
    Reconnect, ///< The caller continues through another entry.
    Last = Reconnect,
};

struct stream_command : rc::state::Command<stream_model, stream_world> {
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

    void run(const stream_model& model, stream_world& world) const override
    {
        if (step == stream_step::Piece)
            world.apply(world.merger.take(world.pieces[choice % world.pieces.size()]));
        else if (step == stream_step::NextPiece && world.merger.resumeRequest())
            takeNext(world);
        else if (step == stream_step::OldPiece && !world.older.empty())
            expectDropped(world, world.older[choice % world.older.size()]);
        else if (step == stream_step::ForeignPiece)
            takeForeign(world);
        else if (step == stream_step::Resume && !world.resumes.empty())
            world.serve(world.resumes[choice % world.resumes.size()]);
        else if (step == stream_step::Restart && world.merger.canRestart())
            world.restart(world.answer);
        else if (step == stream_step::RestartWithOtherAnswer && world.merger.canRestart())
            world.restart(otherAnswer(world));
        else if (step == stream_step::Reconnect)
            reconnect(world);
        RC_ASSERT(!world.broken || model.diverged || step == stream_step::RestartWithOtherAnswer);
    }

    /// An answer that is shorter than the delivered part, or differs from it in one character.
    std::string otherAnswer(const stream_world& world) const
    {
        std::string text = world.answer;
        const std::size_t place = choice / 2 % (world.received.size() + 1);
        if (choice % 2 == 0)
            return text.substr(0, place);
        text[std::min(place, text.size() - 1)] = '?';
        return text;
    }

    static void takeNext(stream_world& world)
    {
        const std::uint64_t next = world.merger.resumeRequest()->afterSequence;
        if (next < world.pieces.size())
            world.apply(world.merger.take(world.pieces[next]));
    }

    static void expectDropped(stream_world& world, const answer_piece& piece)
    {
        const std::uint64_t before = world.merger.droppedPieces();
        const merge_step step = world.merger.take(piece);
        RC_ASSERT(step.deliver.empty() && !step.broken && !step.resume);
        RC_ASSERT(world.merger.droppedPieces() == before + 1);
    }

    void takeForeign(stream_world& world) const
    {
        answer_piece piece = world.pieces[choice % world.pieces.size()];
        piece.text = "!";
        if (choice % 2 == 0)
            piece.attempt = randomId(world.random);
        else
            ++piece.epoch;
        expectDropped(world, piece);
    }

    static void reconnect(stream_world& world)
    {
        const auto place = world.merger.resumeRequest();
        // While a restarted run repeats what was delivered, the caller holds no event id of it.
        const bool catchingUp = place && place->afterSequence < world.pieces.size()
            && suppressedText(world, place->afterSequence) != world.received;
        if (!place || catchingUp)
            return;
        world.merger = stream_merger(*place, smallBounds);
        RC_ASSERT(world.merger.canRestart() == (place->afterSequence == 0));
    }

    static std::string suppressedText(const stream_world& world, std::uint64_t sequence)
    {
        std::string text;
        for (std::uint64_t i = 0; i < sequence; ++i)
            text += world.pieces[i].text;
        return text;
    }

    void show(std::ostream& os) const override { os << static_cast<int>(step) << "(" << choice << ")"; }
};

} // namespace

TEST_CASE("a caller's stream is a prefix of its own answer, and whole when it says so")
{
    // Guards against lost, doubled, reordered, crossed and foreign pieces (I2, I6), and against a restarted
    // run whose other answer is joined to the delivered part.
    CHECK(rc::check("stream merger", [] {
        stream_world world;
        rc::state::check(stream_model {}, world, rc::state::gen::execOneOfWithArgs<stream_command>());
        // Whatever happened, a run that can be read to its end completes the stream or breaks it visibly.
        if (const auto place = world.merger.resumeRequest())
            world.serve(*place);
        RC_ASSERT(world.merger.state() != merger_state::Streaming);
    }));
}

TEST_CASE(
    "random loss, doubling and reordering end in the whole answer after the resumes that were asked for")
{
    // Guards against a gap that is never asked for: the stream would hang with pieces held back.
    CHECK(rc::check("network", [](std::uint64_t seed) {
        stream_world world;
        base::random_source network(seed);
        std::vector<answer_piece> sent = world.pieces;
        std::size_t rounds = 0;
        while (!world.ended) {
            RC_ASSERT(++rounds < 200U);
            std::vector<answer_piece> arriving;
            for (const auto& piece : sent)
                for (std::uint64_t copies = network.below(3); copies > 0; --copies)
                    arriving.insert(
                        arriving.begin() + static_cast<std::ptrdiff_t>(network.below(arriving.size() + 1)),
                        piece);
            world.resumes.clear();
            for (const auto& piece : arriving)
                world.apply(world.merger.take(piece));
            // A request or its answer may be lost as well; after silence the reader asks again.
            const auto place = world.resumes.empty() || network.below(2) == 0 ? world.merger.resumeRequest()
                                                                              : world.resumes.back();
            sent.clear();
            for (const auto& piece : world.pieces)
                if (place && piece.sequence > place->afterSequence)
                    sent.push_back(piece);
        }
        RC_ASSERT(world.received == world.answer);
    }));
}

TEST_CASE("a gap is asked for once, from the last delivered piece")
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

TEST_CASE("a stream ends with one marked error when it cannot go on")
{
    // Guards against a stream that is cut without notice.
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
