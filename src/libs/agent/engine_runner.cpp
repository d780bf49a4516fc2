#include "engine_runner.h"

#include "active_run.h"
#include "events.h"
#include "run_chunk_codec.h"

#include <algorithm>

#include <fmt/format.h>

namespace marigold::agent {

namespace {

constexpr int bytesPerToken = 4;

/// The bound is raised only after rounds within this multiple of the time of a warm engine. One run more
/// than its capacity can overload a cold engine although it was not slower before, so constant times alone
/// are no evidence of free capacity (invariant I4).
constexpr double warmFactor = 2.0;

/// Approximate duration of a weight swap; a caller that waits this long finds the new version.
constexpr std::chrono::milliseconds swapDuration { 400 };

} // namespace

struct engine_runner::private_data {
    platform::completion_engine& engine;
    block_mover& blocks;
    const base::clock& clock;
    base::scheduler& timers;
    options opts;
    routing::cold_ramp ramp;
    routing::admission admission;
    outcome::run_registry registry;
    std::map<base::digest128, std::unique_ptr<active_run>> runs;
    std::map<routing::work_id, base::digest128> runIdsByWork;
    routing::work_id nextWork = 1;
    platform::engine_state engineState;
    bool isEngineKnown = false;
    bool isSwapping = false;
    std::function<void(const std::string&)> onRunEnded;
    std::shared_ptr<bool> lifetimeGuard = std::make_shared<bool>(true);

    private_data(platform::completion_engine& engine, block_mover& blocks, const base::clock& time,
        base::scheduler& timers, options runnerOptions);

    base::result<void> validate(const protocol::run_request& request) const;
    active_run* find(const base::digest128& id);
    void startRun(active_run& run);
    void startEngine(const base::digest128& id);
    void tokenReceived(const base::digest128& id, const platform::engine_token& next);
    void streamEnded(const base::digest128& id, const base::result<platform::engine_end>& outcome);
    void complete(active_run& run, const platform::engine_end& end);
    void retryStream(active_run& run, const base::error& problem);
    void resumeStream(const base::digest128& id);
    void emit(active_run& run, outcome::answer_chunk chunk);
    void fail(active_run& run, const base::error& problem);
    void erase(active_run& run);
    void cancelRun(const base::digest128& id);
    void resumeFromEngine(const protocol::resume_message& request, const std::shared_ptr<run_reader>& reader);
};

engine_runner::private_data::private_data(platform::completion_engine& engine, block_mover& blocks,
    const base::clock& time, base::scheduler& timers, options runnerOptions)
    : engine(engine)
    , blocks(blocks)
    , clock(time)
    , timers(timers)
    , opts(std::move(runnerOptions))
    , ramp({ .first = opts.firstSlots,
          .full = opts.slots,
          .slowestFactor = warmFactor,
          .target = opts.target,
          .log = opts.log })
    , admission(time,
          { .bound = opts.firstSlots,
              .queueCapacity = static_cast<std::size_t>(opts.queueCapacity),
              .start =
                  [this](const routing::work& item) {
                      const auto found = runIdsByWork.find(item.id);
                      if (found != runIdsByWork.end())
                          startRun(*runs.at(found->second));
                  },
              .refuse =
                  [this](const routing::work& item, const base::error& problem) {
                      const auto found = runIdsByWork.find(item.id);
                      if (found == runIdsByWork.end())
                          return;
                      active_run& run = *runs.at(found->second);
                      const auto reader = run.reader;
                      erase(run);
                      reader->failed(problem);
                  } },
          opts.adoptedRuns)
    , registry(timers, { .cancel = [this](const base::digest128& id) { cancelRun(id); } })
{
}

base::result<void> engine_runner::private_data::validate(const protocol::run_request& request) const
{
    if (!isEngineKnown)
        return base::notRun(base::error_reason::Unavailable, "the engine has not reported its state yet");
    if (isSwapping)
        return tl::unexpected(base::error { .reason = base::error_reason::Unavailable,
            .message = "the engine is swapping its weights",
            .field = "version",
            .retryAfter = swapDuration });
    if (request.model != engineState.model)
        return base::notRun(base::error_reason::NotFound, "the engine serves another model", "model");
    if (request.version != engineState.version || engineState.loading)
        return tl::unexpected(base::error { .reason = base::error_reason::Unavailable,
            .message = "the engine serves another weight version",
            .field = "version",
            .retryAfter = swapDuration });
    return {};
}

active_run* engine_runner::private_data::find(const base::digest128& id)
{
    const auto found = runs.find(id);
    return found == runs.end() ? nullptr : found->second.get();
}

void engine_runner::private_data::startRun(active_run& run)
{
    const auto registered = registry.begin({ .run = run.id,
        .attempt = run.attempt,
        .epoch = run.request.epoch,
        .team = run.request.team,
        .owner = run.request.owner });
    if (!registered)
        return fail(run, registered.error());
    run.startedAt = clock.now();
    run.reader->started();
    if (run.request.loadBlocks == 0)
        return startEngine(run.id);
    blocks.load(run.request, [this, id = run.id, guard = std::weak_ptr(lifetimeGuard)](int) {
        if (!guard.expired())
            startEngine(id);
    });
}

void engine_runner::private_data::startEngine(const base::digest128& id)
{
    active_run* run = find(id);
    if (!run)
        return;
    run->isStreaming = true;
    run->stream = engine.start(
        { .requestId = run->engineRequestId,
            .model = run->request.model,
            .version = run->request.version,
            .prompt = run->request.prompt,
            .maxTokens = run->request.maxTokens,
            .temperature = run->request.temperature,
            .priority = enginePriority(run->request.priority),
            .cacheSalt = run->request.cacheSalt },
        [this, id](const platform::engine_token& next) { tokenReceived(id, next); },
        [this, id](const auto& outcome) { streamEnded(id, outcome); });
}

void engine_runner::private_data::tokenReceived(const base::digest128& id, const platform::engine_token& next)
{
    active_run* run = find(id);
    // A resumed stream may repeat tokens. A gap is detected at the end of the stream and handled like an
    // interruption.
    if (!run || next.index != run->received)
        return;
    if (run->received++ == 0) {
        admission.prefillDone(run->work);
        // The blocks are saved now, since a busy engine may evict them before the run ends.
        if (!run->isRecovered && !run->request.saveTo.empty())
            blocks.save(run->request);
    }
    emit(*run,
        { .attempt = run->attempt,
            .epoch = run->request.epoch,
            .sequence = static_cast<std::uint64_t>(run->received),
            .text = next.text,
            .tokens = 1 });
}

void engine_runner::private_data::emit(active_run& run, outcome::answer_chunk chunk)
{
    const auto message = toMessage(chunk);
    registry.append(run.id, std::move(chunk));
    if (run.reader && run.reader->isOpen() && message.sequence > run.deliverAfterSequence)
        run.reader->writeChunk(message);
}

void engine_runner::private_data::streamEnded(
    const base::digest128& id, const base::result<platform::engine_end>& outcome)
{
    active_run* run = find(id);
    if (!run)
        return;
    run->isStreaming = false;
    if (!outcome)
        return retryStream(*run, outcome.error());
    if (static_cast<std::uint32_t>(run->received) < outcome->completionTokens)
        return retryStream(*run,
            { .verdict = base::verdict::MayHaveRun,
                .reason = base::error_reason::StreamBroken,
                .message = "the engine's stream has a gap" });
    if (!run->request.version.empty() && outcome->version != run->request.version)
        return fail(*run,
            { .verdict = base::verdict::Ran,
                .reason = base::error_reason::StreamBroken,
                .message = "the engine used another weight version" });
    complete(*run, *outcome);
}

void engine_runner::private_data::complete(active_run& run, const platform::engine_end& end)
{
    const auto reason
        = end.finishReason == "length" ? outcome::finish_reason::Length : outcome::finish_reason::Stop;
    emit(run,
        { .attempt = run.attempt,
            .epoch = run.request.epoch,
            .sequence = static_cast<std::uint64_t>(run.received) + 1,
            .text = {},
            .tokens = 0,
            .end = outcome::answer_end { .reason = reason,
                .usage = { .promptTokens = end.promptTokens,
                    .cachedTokens = end.cachedTokens,
                    .completionTokens = end.completionTokens } } });

    if (!run.isRecovered) {
        const double prefill
            = static_cast<double>(end.promptTokens - std::min(end.promptTokens, end.cachedTokens))
            / opts.prefillTokensPerSecond;
        const auto expected
            = std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(prefill))
            + opts.tokenTime * (static_cast<int>(end.completionTokens) + 1);
        admission.setBound(ramp.observe(clock.now() - run.startedAt, expected));
    }
    erase(run);
}

void engine_runner::private_data::retryStream(active_run& run, const base::error& problem)
{
    if (problem.verdict == base::verdict::NotRun && run.received == 0 && !run.isRecovered
        && problem.reason != base::error_reason::NotFound)
        return fail(run, problem);
    if (run.remainingResumes == 0 || problem.reason == base::error_reason::NotFound) {
        // An engine that has lost its runs was restarted and is cold.
        ramp.restart();
        admission.setBound(ramp.bound());
        return fail(run,
            { .verdict = base::verdict::MayHaveRun,
                .reason = base::error_reason::StreamBroken,
                .message = "the engine lost the run" });
    }
    --run.remainingResumes;
    timers.runAfter(opts.resumeDelay, [this, id = run.id, guard = std::weak_ptr(lifetimeGuard)] {
        if (!guard.expired())
            resumeStream(id);
    });
}

void engine_runner::private_data::resumeStream(const base::digest128& id)
{
    active_run* run = find(id);
    if (!run)
        return;
    run->isStreaming = true;
    run->stream = engine.resume(
        run->engineRequestId, run->received,
        [this, id](const platform::engine_token& next) { tokenReceived(id, next); },
        [this, id](const auto& outcome) { streamEnded(id, outcome); });
}

void engine_runner::private_data::fail(active_run& run, const base::error& problem)
{
    if (opts.log)
        opts.log->write(events::runFailed,
            { { "run", run.request.run }, { "verdict", std::string(base::nameOf(problem.verdict)) },
                { "message", problem.message } });
    registry.cancelled(run.id);
    const auto reader = run.reader;
    erase(run);
    if (reader && reader->isOpen())
        reader->failed(problem);
}

void engine_runner::private_data::erase(active_run& run)
{
    const std::string name = run.request.run;
    const routing::work_id work = run.work;
    runIdsByWork.erase(work);
    runs.erase(run.id);
    admission.finish(work);
    if (onRunEnded)
        onRunEnded(name);
}

void engine_runner::private_data::cancelRun(const base::digest128& id)
{
    active_run* run = find(id);
    if (!run)
        return;
    if (admission.cancelQueued(run->work)) {
        registry.cancelled(id);
        return erase(*run);
    }
    if (run->isStreaming)
        engine.detach(run->stream);
    engine.cancel(run->engineRequestId, [](const auto&) {});
    registry.cancelled(id);
    erase(*run);
}

void engine_runner::private_data::resumeFromEngine(
    const protocol::resume_message& request, const std::shared_ptr<run_reader>& reader)
{
    auto run = std::make_unique<active_run>();
    run->request = { .run = request.run,
        .attempt = request.attempt,
        .epoch = request.epoch,
        .team = request.team,
        .owner = request.owner,
        .model = {},
        .version = {},
        .prompt = {},
        .cacheSalt = {} };
    run->id = *base::digest128FromHex(request.run);
    run->attempt = *base::digest128FromHex(request.attempt);
    run->engineRequestId = engineRequestId(request.team, request.run);
    // The stream is read from its start, so that the registry can serve the next resume.
    run->deliverAfterSequence = request.afterSequence;
    run->remainingResumes = 1;
    run->isRecovered = true;
    run->reader = reader;
    run->startedAt = clock.now();
    const base::digest128 id = run->id;
    const auto registered = registry.begin({ .run = id,
        .attempt = run->attempt,
        .epoch = request.epoch,
        .team = request.team,
        .owner = request.owner });
    if (!registered)
        return reader->failed({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::NotFound,
            .message = "the run is unknown" });
    if (opts.log)
        opts.log->write(events::runRecovered, { { "run", request.run } });
    runs[id] = std::move(run);
    resumeStream(id);
}

engine_runner::engine_runner(platform::completion_engine& engine, block_mover& blocks,
    const base::clock& time, base::scheduler& timers, options opts)
    : d(std::make_unique<private_data>(engine, blocks, time, timers, std::move(opts)))
{
}

engine_runner::~engine_runner() = default;

void engine_runner::setSwapping(bool swapping)
{
    d->isSwapping = swapping;
}

void engine_runner::engineReported(const platform::engine_state& state, base::time_point measuredAt)
{
    // An engine is cold after its weights were swapped.
    if (d->isEngineKnown && state.version != d->engineState.version) {
        d->ramp.restart();
        d->admission.setBound(d->ramp.bound());
    }
    d->engineState = state;
    d->isEngineKnown = true;
    d->admission.engineReported(state.running, measuredAt);
    d->admission.expire();
}

void engine_runner::engineLost()
{
    if (!d->isEngineKnown)
        return;
    d->isEngineKnown = false;
    d->ramp.restart();
    d->admission.setBound(d->ramp.bound());
}

void engine_runner::submit(const protocol::run_request& request, std::shared_ptr<run_reader> reader)
{
    if (const auto valid = d->validate(request); !valid)
        return reader->failed(valid.error());
    const auto id = *base::digest128FromHex(request.run);
    if (d->find(id))
        return reader->failed({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::Conflict,
            .message = "the run already exists" });

    auto run = std::make_unique<active_run>();
    run->request = request;
    run->id = id;
    run->attempt = *base::digest128FromHex(request.attempt);
    run->engineRequestId = engineRequestId(request.team, request.run);
    run->reader = std::move(reader);
    run->work = d->nextWork++;
    run->remainingResumes = d->opts.resumeAttempts;
    active_run& added = *run;
    d->runs[id] = std::move(run);
    d->runIdsByWork[added.work] = id;

    const auto admitted = d->admission.submit({ .id = added.work,
        .priority = static_cast<routing::priority>(request.priority),
        .deadline = d->clock.now() + request.remaining,
        .waitLimit = request.waitLimit,
        .prefillTokens = static_cast<int>(request.prompt.size()) / bytesPerToken });
    if (!admitted) {
        const auto refused = added.reader;
        d->runIdsByWork.erase(added.work);
        d->runs.erase(id);
        return refused->failed(admitted.error());
    }
    if (*admitted == routing::admission_outcome::Started)
        d->startRun(added);
}

void engine_runner::resume(const protocol::resume_message& request, std::shared_ptr<run_reader> reader)
{
    const auto id = *base::digest128FromHex(request.run);
    const auto attempt = *base::digest128FromHex(request.attempt);
    const auto tail
        = d->registry.resume(id, attempt, request.epoch, request.team, request.afterSequence, request.owner);
    if (!tail) {
        if (tail.error().reason == base::error_reason::NotFound && !d->find(id))
            return d->resumeFromEngine(request, reader);
        return reader->failed(tail.error());
    }
    reader->started();
    for (const auto& chunk : tail->chunks)
        reader->writeChunk(toMessage(chunk));
    if (tail->state == outcome::run_state::Cancelled)
        return reader->failed({ .verdict = base::verdict::MayHaveRun,
            .reason = base::error_reason::StreamBroken,
            .message = "the run was cancelled" });
    if (active_run* run = d->find(id)) {
        run->reader = std::move(reader);
        run->request.owner = request.owner;
    }
}

void engine_runner::readerDisconnected(const std::string& run, const std::string& owner)
{
    const auto id = base::digest128FromHex(run);
    active_run* found = id ? d->find(*id) : nullptr;
    if (!found || found->request.owner != owner)
        return;
    // A queued run has no output that could be resumed.
    if (!found->isStreaming && found->startedAt == base::time_point {})
        return d->cancelRun(*id);
    d->registry.connectionLost(*id, owner);
}

void engine_runner::cancel(const std::string& run, const std::string& team)
{
    const auto id = base::digest128FromHex(run);
    active_run* found = id ? d->find(*id) : nullptr;
    if (found && found->request.team == team)
        d->cancelRun(*id);
}

void engine_runner::ownerLost(const std::string& owner)
{
    d->registry.ownerLost(owner);
}

protocol::agent_load engine_runner::load() const
{
    return { .running = d->admission.running(),
        .queued = d->admission.queued(),
        .bound = d->isEngineKnown && !d->isSwapping ? d->admission.bound() : 0,
        .pendingPrefillTokens = d->admission.pendingPrefillTokens(),
        .prefillTokensPerSecond = d->opts.prefillTokensPerSecond,
        .serviceTime = d->admission.serviceTime(),
        .version = d->engineState.version };
}

std::size_t engine_runner::activeRuns() const
{
    return d->runs.size();
}

int engine_runner::rampBound() const
{
    return d->ramp.bound();
}

void engine_runner::onEnded(std::function<void(const std::string& run)> handler)
{
    d->onRunEnded = std::move(handler);
}

} // namespace marigold::agent
