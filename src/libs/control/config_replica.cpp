#include "config_replica.h"

#include "config_record.h"
#include "events.h"

#include <algorithm>

namespace marigold::control {

namespace {

using base::error_reason;

constexpr std::size_t maxSources = 3;
constexpr std::size_t watchersPerDomain = 2;

} // namespace

config_replica::config_replica(config_log& log, platform::kv_store& store, config_peers& peers,
    base::scheduler& timers, base::random_source& random, const base::event_log& events, options opts)
    : m_log(log)
    , m_store(store)
    , m_peers(peers)
    , m_timers(timers)
    , m_random(random)
    , m_events(events)
    , m_options(opts)
{
}

void config_replica::start(std::vector<std::string> peers)
{
    m_startPeers = std::move(peers);
    m_reading = true;
    m_readFailures = 0;
    read();
}

void config_replica::refresh(std::vector<std::string> peers)
{
    start(std::move(peers));
}

void config_replica::read()
{
    const std::uint64_t round = ++m_readRound;
    for (std::size_t i = 0; i + 1 < m_startPeers.size(); ++i)
        std::swap(m_startPeers[i], m_startPeers[i + m_random.below(m_startPeers.size() - i)]);
    const std::size_t peerCount = std::min(m_startPeers.size(), m_options.maxStartPeers);
    m_readsPending = peerCount + 1;
    m_readSucceeded = false;
    m_log.load([this, round](base::result<loaded_config> answer) {
        if (round != m_readRound)
            return;
        if (answer)
            adopt(std::move(answer->state));
        readDone(true, answer.has_value());
    });
    for (std::size_t i = 0; i < peerCount && round == m_readRound; ++i)
        m_peers.pull(m_startPeers[i], version(), !m_state, [this, round](base::result<pull_answer> answer) {
            if (round != m_readRound)
                return;
            // A peer without a configuration replies with version 0, which confirms nothing.
            const bool confirms = answer && answer->version >= version()
                && (answer->version > 0 || answer->document) && applyAnswer(*answer);
            readDone(false, confirms);
        });
}

/// The key-value service has the highest version by definition. Without it, the replies of all queried peers
/// are awaited, so that the highest of their versions is adopted.
void config_replica::readDone(bool fromService, bool succeeded)
{
    m_readSucceeded = m_readSucceeded || succeeded;
    if (m_readsPending > 0)
        --m_readsPending;
    if (!m_reading)
        return;
    if (m_state && ((fromService && succeeded) || (m_readsPending == 0 && m_readSucceeded))) {
        m_reading = false;
        if (m_changed)
            m_changed(*m_state);
        return;
    }
    if (m_readsPending > 0)
        return;
    m_timers.runAfter(backoffDelay(m_readFailures++), [this, round = m_readRound] {
        if (m_reading && round == m_readRound)
            read();
    });
}

base::result<void> config_replica::apply(const config_patch& patch)
{
    if (m_state && patch.version <= m_state->version)
        return {};
    if (!m_state || patch.version != m_state->version + 1)
        return base::notRun(error_reason::Conflict, "versions before this change are missing");
    auto next = detail::applyNext(*m_state, patch);
    if (!next) {
        m_events.write(events::digestMismatch,
            { { "version", std::to_string(patch.version) }, { "cause", next.error().message } });
        m_needsFullDocument = true;
        return tl::unexpected(next.error());
    }
    m_state = std::move(*next);
    m_recent.push_back(patch);
    if (m_recent.size() > m_options.recentPatches)
        m_recent.pop_front();
    m_events.write(events::configAdopted, { { "version", std::to_string(patch.version) } });
    if (m_changed)
        m_changed(*m_state);
    return {};
}

bool config_replica::adopt(config_state state)
{
    if (m_state && state.version <= m_state->version)
        return false;
    m_state = std::move(state);
    m_recent.clear();
    m_needsFullDocument = false;
    m_events.write(events::configAdopted, { { "version", std::to_string(m_state->version) } });
    if (m_changed)
        m_changed(*m_state);
    return true;
}

void config_replica::recordVersion(std::uint64_t version, const std::string& address)
{
    if (version <= this->version() || version < m_highestSeen)
        return;
    if (version > m_highestSeen)
        m_sources.clear();
    m_highestSeen = version;
    if (std::find(m_sources.begin(), m_sources.end(), address) == m_sources.end())
        m_sources.push_back(address);
    if (m_sources.size() > maxSources)
        m_sources.pop_front();
    if (m_state)
        pullNext();
}

void config_replica::pullNext()
{
    if (m_pulling || m_sources.empty() || m_highestSeen <= version())
        return;
    m_pulling = true;
    const std::string address = m_sources.back();
    m_sources.pop_back();
    m_peers.pull(address, version(), m_needsFullDocument,
        [this](const base::result<pull_answer>& answer) { handlePullAnswer(answer); });
}

void config_replica::handlePullAnswer(const base::result<pull_answer>& answer)
{
    m_pulling = false;
    const bool applied = answer && applyAnswer(*answer);
    if (applied && version() >= m_highestSeen)
        return;
    // Jitter spreads the retries of a domain whose processes received the same version at once.
    const auto wait = m_options.pullRetryDelay.count();
    m_timers.runAfter(
        base::duration(wait / 2 + static_cast<std::int64_t>(m_random.below(wait))), [this] { pullNext(); });
}

base::result<void> config_replica::applyAnswer(const pull_answer& answer)
{
    if (answer.document) {
        adopt({ .version = answer.version, .document = *answer.document });
        return {};
    }
    for (const auto& patch : answer.patches)
        if (auto applied = apply(patch); !applied)
            return applied;
    return {};
}

pull_answer config_replica::answerPull(std::uint64_t haveVersion, bool wantsFullDocument) const
{
    pull_answer answer { .version = version(), .patches = {} };
    if (!m_state || (haveVersion >= m_state->version && !wantsFullDocument))
        return answer;
    if (!wantsFullDocument && !m_recent.empty() && m_recent.front().version <= haveVersion + 1) {
        for (const auto& patch : m_recent)
            if (patch.version > haveVersion)
                answer.patches.push_back(patch);
        return answer;
    }
    answer.document = m_state->document;
    return answer;
}

bool config_replica::isWatcher(
    const std::string& self, std::span<const std::string> entries, const std::string& failureDomain)
{
    const auto ownScore = base::rendezvousScore(failureDomain, self);
    std::size_t lowerScores = 0;
    for (const auto& entry : entries)
        lowerScores += entry != self && base::rendezvousScore(failureDomain, entry) < ownScore ? 1 : 0;
    return lowerScores < watchersPerDomain;
}

void config_replica::setWatcher(bool watcher)
{
    if (watcher == m_watcher)
        return;
    m_watcher = watcher;
    ++m_watchGeneration;
    m_watchFailures = 0;
    if (watcher)
        loadForWatch(m_watchGeneration);
}

void config_replica::loadForWatch(std::uint64_t generation)
{
    const auto loaded = [this, generation](base::result<loaded_config> answer) {
        if (generation != m_watchGeneration)
            return;
        if (!answer) {
            m_events.write(events::watchFailed, { { "cause", answer.error().message } });
            return retryWatch(generation, true);
        }
        m_watchFailures = 0;
        m_watchRevision = std::max(m_watchRevision, answer->revision);
        for (const auto& patch : answer->patches)
            if (!apply(patch))
                break;
        adopt(std::move(answer->state));
        watch(generation);
    };
    if (m_state && !m_needsFullDocument)
        m_log.loadSince(*m_state, loaded);
    else
        m_log.load(loaded);
}

void config_replica::watch(std::uint64_t generation)
{
    m_store.watch(detail::patchPrefix, m_watchRevision, m_options.watchDuration,
        [this, generation](
            const base::result<platform::kv_watch_batch>& batch) { handleWatchBatch(generation, batch); });
}

void config_replica::handleWatchBatch(
    std::uint64_t generation, const base::result<platform::kv_watch_batch>& batch)
{
    if (generation != m_watchGeneration)
        return;
    if (!batch) {
        m_events.write(events::watchFailed, { { "cause", batch.error().message } });
        return retryWatch(generation, false);
    }
    m_watchFailures = 0;
    for (const auto& change : batch->changes) {
        const auto patch = config_patch::decode(change.value);
        if (!patch || !apply(*patch))
            return loadForWatch(generation);
    }
    m_watchRevision = std::max(m_watchRevision, batch->revision);
    watch(generation);
}

void config_replica::retryWatch(std::uint64_t generation, bool load)
{
    m_timers.runAfter(backoffDelay(m_watchFailures++), [this, generation, load] {
        if (generation != m_watchGeneration)
            return;
        if (load)
            loadForWatch(generation);
        else
            watch(generation);
    });
}

/// Returns an exponential backoff delay with uniform jitter over its upper half.
base::duration config_replica::backoffDelay(int failures)
{
    constexpr int maxDoublings = 10;
    const auto limit = std::min(
        m_options.maxBackoff.count(), m_options.minBackoff.count() << std::min(failures, maxDoublings));
    return base::duration(limit / 2 + static_cast<std::int64_t>(m_random.below(limit / 2 + 1)));
}

} // namespace marigold::control
