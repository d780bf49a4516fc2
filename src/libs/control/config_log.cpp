#include "config_log.h"

#include "config_record.h"
#include "events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace marigold::control {

namespace {

using base::error_reason;

constexpr std::size_t pageSize = 256; ///< Records per read.

/// Returns the error `Conflict` for a change whose version was taken by \a winner.
base::error versionConflict(std::uint64_t base, const config_patch& winner)
{
    return base::notRun(error_reason::Conflict,
        fmt::format("the change is based on version {}, but version {} is change {} by \"{}\"", base,
            winner.version, winner.changeId, winner.author),
        "base_version")
        .value();
}

} // namespace

std::string_view nameOf(proposal_status status)
{
    constexpr std::array<std::string_view, 3> names { "accepted", "refused", "unknown" };
    return names[static_cast<std::size_t>(status)];
}

struct config_log::proposal {
    config_state base;
    config_patch patch;
    config_document document;
    outcome_callback done;
    int attempts = 0;
    bool mayBeWritten = false; ///< A write conflicted, or its reply was lost.
};

config_log::config_log(platform::kv_store& store, base::scheduler& timers, const base::clock& time,
    const base::event_log& log, options opts)
    : m_store(store)
    , m_timers(timers)
    , m_clock(time)
    , m_log(log)
    , m_options(opts)
{
}

std::string config_log::makeChangeId(std::uint64_t baseVersion, base::random_source& random)
{
    constexpr std::size_t randomBytes = 12;
    return fmt::format("{}-{}", baseVersion + 1, random.hex(randomBytes));
}

void config_log::load(callback<loaded_config> done)
{
    m_store.get(detail::snapshotKey, [this, done = std::move(done)](auto answer) {
        if (!answer)
            return done(tl::unexpected(answer.error()));
        config_state state;
        if (*answer) {
            auto decoded = detail::decodeSnapshot((*answer)->value);
            if (!decoded)
                return done(tl::unexpected(decoded.error()));
            state = std::move(*decoded);
        }
        loadSince(std::move(state), done);
    });
}

void config_log::loadSince(config_state from, callback<loaded_config> done)
{
    auto state = std::make_shared<loaded_config>();
    state->state = std::move(from);
    continueLoad(state, std::move(done));
}

void config_log::continueLoad(const std::shared_ptr<loaded_config>& state, callback<loaded_config> done)
{
    const auto after = detail::patchKey(state->state.version);
    m_store.range(
        detail::patchPrefix, after, pageSize, [this, state, done = std::move(done)](auto answer) mutable {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            for (const auto& entry : *answer) {
                auto patch = config_patch::decode(entry.value);
                if (!patch)
                    return done(tl::unexpected(patch.error()));
                auto next = detail::applyNext(state->state, *patch);
                if (!next)
                    return done(tl::unexpected(next.error()));
                state->state = std::move(*next);
                state->patches.push_back(std::move(*patch));
                state->revision = std::max(state->revision, entry.revision);
            }
            if (answer->size() < pageSize)
                return done(std::move(*state));
            continueLoad(state, std::move(done));
        });
}

void config_log::propose(const config_state& current, config_change change, outcome_callback done)
{
    auto pending = std::make_shared<proposal>();
    pending->base = current;
    pending->done = std::move(done);
    pending->patch.changeId = change.changeId;
    pending->patch.version = change.baseVersion + 1;
    auto effect = dryRun(current, change);
    if (!effect)
        return refuse(pending, effect.error());
    if (detail::versionOfChange(change.changeId) != pending->patch.version)
        return refuse(pending,
            base::notRun(
                error_reason::InvalidRequest, "the change id does not belong to this base version", "change")
                .value());
    pending->document = effect->document;
    pending->patch = {
        .version = current.version + 1,
        .changeId = std::move(change.changeId),
        .author = std::move(change.author),
        .time = m_clock.wallNow(),
        .kind = change.kind,
        .body = std::move(change.body),
        .inverse = std::move(effect->inverse),
        .digest = effect->document.digest(),
    };
    if (pending->patch.body.size() + pending->patch.inverse.size() > maxDocumentBytes / 2)
        return refuse(
            pending, base::notRun(error_reason::TooLarge, "the change exceeds 495,000 bytes").value());
    create(pending);
}

void config_log::create(const std::shared_ptr<proposal>& pending)
{
    ++pending->attempts;
    platform::kv_write write { .key = detail::patchKey(pending->patch.version),
        .value = pending->patch.encode(),
        .expectedRevision = 0 };
    m_store.put(std::move(write), [this, pending](base::result<std::uint64_t> answer) {
        if (answer)
            return accept(pending);
        if (answer.error().reason == error_reason::Conflict)
            return readBack(pending);
        if (answer.error().verdict != base::verdict::NotRun) {
            pending->mayBeWritten = true;
            return readBack(pending);
        }
        if (!pending->mayBeWritten)
            return refuse(pending, answer.error());
        retry(pending, false);
    });
}

void config_log::readBack(const std::shared_ptr<proposal>& pending)
{
    pending->mayBeWritten = true;
    m_store.get(detail::patchKey(pending->patch.version), [this, pending](auto answer) {
        if (!answer)
            return retry(pending, false);
        // The lost write may still be in flight, so only a second write with the same id settles the outcome.
        if (!*answer)
            return retry(pending, true);
        compareStored(pending, **answer);
    });
}

void config_log::retry(const std::shared_ptr<proposal>& pending, bool write)
{
    if (pending->attempts++ >= m_options.attempts) {
        m_log.write(events::proposalUnknown, { { "change", pending->patch.changeId } });
        return pending->done({
            .status = proposal_status::Unknown,
            .changeId = pending->patch.changeId,
            .baseVersion = pending->patch.version - 1,
            .currentVersion = pending->base.version,
            .problem = base::mayHaveRun(error_reason::Unavailable,
                "the key-value service did not confirm the change; query the outcome by change id")
                           .value(),
        });
    }
    m_timers.runAfter(m_options.retryDelay, [this, pending, write] {
        if (write)
            create(pending);
        else
            readBack(pending);
    });
}

void config_log::compareStored(const std::shared_ptr<proposal>& pending, const platform::kv_entry& found)
{
    const auto stored = config_patch::decode(found.value);
    if (!stored)
        return refuse(pending, stored.error());
    if (stored->changeId == pending->patch.changeId)
        return accept(pending);
    refuse(pending, versionConflict(pending->patch.version - 1, *stored));
}

void config_log::accept(const std::shared_ptr<proposal>& pending)
{
    const auto& patch = pending->patch;
    m_log.write(events::changeAccepted,
        { { "version", std::to_string(patch.version) }, { "change", patch.changeId },
            { "author", patch.author } });
    if (m_snapshotDue || patch.version % m_options.versionsPerSnapshot == 0)
        writeSnapshot({ .version = patch.version, .document = pending->document });
    pending->done({
        .status = proposal_status::Accepted,
        .changeId = patch.changeId,
        .baseVersion = patch.version - 1,
        .currentVersion = patch.version,
        .accepted = patch,
    });
}

void config_log::refuse(const std::shared_ptr<proposal>& pending, base::error problem) const
{
    // If another change was accepted first, the current version is one higher.
    const bool isVersionConflict = problem.reason == error_reason::Conflict && pending->mayBeWritten;
    pending->done({
        .status = proposal_status::Refused,
        .changeId = pending->patch.changeId,
        .baseVersion = pending->patch.version - 1,
        .currentVersion = pending->base.version + (isVersionConflict ? 1 : 0),
        .problem = std::move(problem),
    });
}

void config_log::writeSnapshot(const config_state& state)
{
    m_snapshotDue = true;
    m_store.get(detail::snapshotKey, [this, state](auto answer) {
        if (!answer)
            return;
        std::uint64_t revision = 0;
        if (*answer) {
            const auto previous = detail::decodeSnapshot((*answer)->value);
            m_snapshotDue = !previous || previous->version < state.version;
            if (!m_snapshotDue)
                return;
            revision = (*answer)->revision;
        }
        platform::kv_write write { .key = std::string(detail::snapshotKey),
            .value = detail::encodeSnapshot(state),
            .expectedRevision = revision };
        m_store.put(std::move(write), [this](base::result<std::uint64_t> written) {
            m_snapshotDue = !written && written.error().reason != error_reason::Conflict;
            if (m_snapshotDue)
                m_log.write(events::snapshotFailed, { { "cause", written.error().message } });
        });
    });
}

void config_log::resolve(std::string changeId, outcome_callback done)
{
    const auto version = detail::versionOfChange(changeId);
    proposal_outcome outcome { .changeId = std::move(changeId) };
    if (!version) {
        outcome.status = proposal_status::Refused;
        outcome.problem = base::notRun(error_reason::InvalidRequest, "not a change id", "change").value();
        return done(std::move(outcome));
    }
    outcome.baseVersion = outcome.currentVersion = *version - 1;
    m_store.get(detail::patchKey(*version),
        [outcome = std::move(outcome), done = std::move(done)](auto answer) mutable {
            outcome.problem
                = base::mayHaveRun(error_reason::Unavailable, "the change is not in the log yet").value();
            if (!answer)
                outcome.problem = answer.error();
            if (!answer || !*answer)
                return done(std::move(outcome));
            const auto stored = config_patch::decode((*answer)->value);
            if (!stored) {
                outcome.problem = stored.error();
                return done(std::move(outcome));
            }
            const bool isOwnChange = stored->changeId == outcome.changeId;
            outcome.status = isOwnChange ? proposal_status::Accepted : proposal_status::Refused;
            outcome.currentVersion = stored->version;
            outcome.problem = isOwnChange ? base::error {} : versionConflict(outcome.baseVersion, *stored);
            if (isOwnChange)
                outcome.accepted = *stored;
            done(std::move(outcome));
        });
}

void config_log::history(std::uint64_t after, std::size_t count, callback<std::vector<config_patch>> done)
{
    m_store.range(detail::patchPrefix, detail::patchKey(after), std::min(count, pageSize),
        [done = std::move(done)](auto answer) {
            if (!answer)
                return done(tl::unexpected(answer.error()));
            std::vector<config_patch> out;
            for (const auto& entry : *answer) {
                auto patch = config_patch::decode(entry.value);
                if (!patch)
                    return done(tl::unexpected(patch.error()));
                out.push_back(std::move(*patch));
            }
            done(std::move(out));
        });
}

} // namespace marigold::control
