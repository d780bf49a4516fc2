#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace marigold::bench {

/// One request as it reaches a fake target.
struct fake_request {
    routing::work_id id = 0;
    int promptTokens = 0;
    int prefixTokens = 0; ///< Computed by an earlier request; counted as recomputed if prefilled again.
    int outputTokens = 1;
    std::uint64_t prefixKey = 0;
    int loadedTokens = 0; ///< Tokens of the prefix that are transferred from a store.
    base::time_point loadedAt {}; ///< When the transfer ends.
    routing::priority priority = routing::priority::Normal;
    base::time_point deadline = base::time_point::max();
    base::duration waitLimit = base::duration::max();
};

/// Engine with a prefix cache, behind the admission of its agent. Prompts are prefilled one at a time. Each
/// run then produces one token per `secondsPerToken` and frees its slot at the end.
class fake_target {
public:
    struct options {
        int slots = 16;
        double prefillTokensPerSecond = 8'000;
        double secondsPerToken = 0.02;
        std::int64_t cacheTokens = 400'000;
        std::size_t queueCapacity = 64;
        int warmUpRuns = 0; ///< Runs until a cold engine is warm; 0 if the engine is always warm.
        /// Added slowdown of an entirely cold engine, as a multiple of the warm times.
        double coldSlowdown = 8;
        bool followsRamp = false; ///< Whether the admission bound follows `cold_ramp` instead of `slots`.
        std::function<void(const fake_request&, int recomputed)> onFirstToken = {};
        std::function<void(const fake_request&)> onEnded = {};
        std::function<void(const fake_request&)> onShed = {}; ///< Called if a queued request is refused.
    };

    fake_target(base::manual_clock& time, base::scheduler& timers, options opts)
        : m_clock(time)
        , m_timers(timers)
        , m_options(std::move(opts))
        , m_ramp({ .full = m_options.slots })
        , m_admission(time,
              { .bound = m_options.followsRamp ? m_ramp.bound() : m_options.slots,
                  .queueCapacity = m_options.queueCapacity,
                  .prefillTokensPerSecond = m_options.prefillTokensPerSecond,
                  .start = [this](const routing::work& item) { startRun(item.id); },
                  .refuse =
                      [this](const routing::work& item, const base::error&) {
                          const auto node = m_requests.extract(item.id);
                          if (m_options.onShed)
                              m_options.onShed(node.mapped());
                      } })
    {
    }

    base::result<routing::admission_outcome> submit(const fake_request& request)
    {
        m_requests[request.id] = request;
        auto outcome = m_admission.submit({ .id = request.id,
            .priority = request.priority,
            .deadline = request.deadline,
            .waitLimit = request.waitLimit,
            .prefillTokens = request.promptTokens - reusableTokens(request) });
        if (!outcome)
            m_requests.erase(request.id);
        else if (*outcome == routing::admission_outcome::Started)
            startRun(request.id);
        return outcome;
    }

    /// Returns the number of tokens of the prefix \a key that the engine has cached.
    int cachedTokens(std::uint64_t key) const
    {
        const auto found = m_cache.find(key);
        return found == m_cache.end() ? 0 : found->second.tokens;
    }

    routing::load_report report() const
    {
        return { .running = m_admission.running(),
            .queued = m_admission.queued(),
            .slots = m_admission.bound(),
            .pendingPrefillTokens = m_admission.pendingPrefillTokens(),
            .prefillTokensPerSecond = m_observedSpeed,
            .serviceTime = m_admission.serviceTime(),
            .contextLifetime = m_lruOrder.empty() ? base::duration::zero()
                                                  : m_clock.now() - m_cache.at(m_lruOrder.back()).usedAt };
    }

    /// Returns the report with the exact prefill backlog, which the agent can only estimate.
    routing::load_report exactReport() const
    {
        routing::load_report out = report();
        const base::duration backlog = std::max(m_prefillFreeAt - m_clock.now(), base::duration::zero());
        out.pendingPrefillTokens = static_cast<std::int64_t>(
            std::chrono::duration<double>(backlog).count() * out.prefillTokensPerSecond);
        out.pendingPrefillTokens += m_tokensAwaitingTransfer;
        return out;
    }

    /// Clears the engine's cache and makes the engine cold. Restarts the ramp if \a notifyRamp; otherwise the
    /// ramp has to detect the cold engine from its run times.
    void makeCold(bool notifyRamp)
    {
        m_cache.clear();
        m_lruOrder.clear();
        m_cachedTokens = 0;
        m_runsSinceCold = 0;
        if (notifyRamp) {
            m_ramp.restart();
            if (m_options.followsRamp)
                m_admission.setBound(m_ramp.bound());
        }
    }

    int running() const { return m_admission.running(); }
    int outstanding() const { return m_admission.running() + m_admission.queued(); }
    int rampBound() const { return m_ramp.bound(); }
    bool isWarm() const { return slowdown() < 1.01; }
    int startsAboveRamp() const { return m_startsAboveRamp; }

private:
    struct cache_entry {
        int tokens;
        base::time_point usedAt;
        std::list<std::uint64_t>::iterator place;
    };

    int reusableTokens(const fake_request& request) const
    {
        return std::min(
            request.prefixTokens, std::max(request.loadedTokens, cachedTokens(request.prefixKey)));
    }

    double slowdown() const
    {
        if (m_options.warmUpRuns == 0)
            return 1;
        // More than four concurrent runs slow a cold engine further, since they share its warm-up.
        const double cold = std::max(0.0, 1 - static_cast<double>(m_runsSinceCold) / m_options.warmUpRuns);
        return 1 + cold * m_options.coldSlowdown * std::max(1.0, m_admission.running() / 4.0);
    }

    base::duration toDuration(double seconds) const
    {
        return base::duration(static_cast<std::int64_t>(seconds * 1e6));
    }

    void startRun(routing::work_id id)
    {
        if (m_admission.running() > m_ramp.bound())
            ++m_startsAboveRamp;
        // The engine prefills other prompts while the blocks of this one are being transferred.
        const base::time_point now = m_clock.now();
        const base::duration transfer = std::max(m_requests.at(id).loadedAt - now, base::duration::zero());
        const int tokens = m_requests.at(id).promptTokens - m_requests.at(id).loadedTokens;
        m_tokensAwaitingTransfer += tokens;
        // The time that a warm engine needs, from the agent's estimate of the backlog including this run.
        const base::duration expected = transfer
            + toDuration(
                static_cast<double>(m_admission.pendingPrefillTokens()) / m_options.prefillTokensPerSecond)
            + toDuration(m_requests.at(id).outputTokens * m_options.secondsPerToken);
        m_timers.runAfter(transfer, [this, id, now, tokens, expected] {
            m_tokensAwaitingTransfer -= tokens;
            prefill(id, now, expected);
        });
    }

    void prefill(routing::work_id id, base::time_point startedAt, base::duration expected)
    {
        const fake_request& request = m_requests.at(id);
        const int reused = reusableTokens(request);
        const int tokens = request.promptTokens - reused;
        const base::time_point now = m_clock.now();
        const base::time_point from = std::max(now, m_prefillFreeAt);
        m_prefillFreeAt = from + toDuration(tokens * slowdown() / m_options.prefillTokensPerSecond);
        const base::duration decodeTime
            = toDuration(request.outputTokens * m_options.secondsPerToken * slowdown());
        // The agent observes the speed of each prefill when it ends.
        constexpr double speedSmoothing = 0.3;
        const double speed = m_options.prefillTokensPerSecond / slowdown();
        m_timers.runAfter(m_prefillFreeAt - now, [this, id, reused, decodeTime, expected, startedAt, speed] {
            m_observedSpeed += speedSmoothing * (speed - m_observedSpeed);
            m_admission.setPrefillSpeed(m_observedSpeed);
            const fake_request& request = m_requests.at(id);
            addToCache(request.prefixKey, request.promptTokens + request.outputTokens);
            m_admission.prefillDone(id);
            m_options.onFirstToken(request, request.prefixTokens - reused);
            m_timers.runAfter(
                decodeTime, [this, id, expected, startedAt] { endRun(id, startedAt, expected); });
        });
    }

    void endRun(routing::work_id id, base::time_point startedAt, base::duration expected)
    {
        const fake_request request = m_requests.extract(id).mapped();
        ++m_runsSinceCold;
        // The ramp is updated even if it does not set the bound, to count the starts above it. A lower bound
        // is set before the slot is freed, since the freed slot would otherwise start a run above the bound.
        m_ramp.observe(m_clock.now() - startedAt, expected);
        if (m_options.followsRamp && m_ramp.bound() < m_admission.bound())
            m_admission.setBound(m_ramp.bound());
        m_admission.finish(id);
        if (m_options.followsRamp)
            m_admission.setBound(m_ramp.bound());
        m_options.onEnded(request);
    }

    void addToCache(std::uint64_t key, int tokens)
    {
        if (const auto found = m_cache.find(key); found != m_cache.end()) {
            m_cachedTokens -= found->second.tokens;
            m_lruOrder.erase(found->second.place);
        }
        m_lruOrder.push_front(key);
        m_cache[key] = { .tokens = tokens, .usedAt = m_clock.now(), .place = m_lruOrder.begin() };
        m_cachedTokens += tokens;
        while (m_cachedTokens > m_options.cacheTokens) {
            m_cachedTokens -= m_cache.at(m_lruOrder.back()).tokens;
            m_cache.erase(m_lruOrder.back());
            m_lruOrder.pop_back();
        }
    }

    base::manual_clock& m_clock;
    base::scheduler& m_timers;
    options m_options;
    routing::cold_ramp m_ramp;
    routing::admission m_admission;
    std::unordered_map<routing::work_id, fake_request> m_requests;
    std::unordered_map<std::uint64_t, cache_entry> m_cache;
    std::list<std::uint64_t> m_lruOrder;
    std::int64_t m_cachedTokens = 0;
    std::int64_t m_runsSinceCold = 0;
    int m_startsAboveRamp = 0;
    double m_observedSpeed = m_options.prefillTokensPerSecond; ///< Tokens per second, smoothed.
    std::int64_t m_tokensAwaitingTransfer = 0; ///< Prompt tokens whose prefill waits for a transfer.
    base::time_point m_prefillFreeAt {};
};

} // namespace marigold::bench
