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
    int prefixTokens = 0; ///< Computed before; what of it is prefilled again counts as recomputed.
    int outputTokens = 1;
    std::uint64_t prefixKey = 0;
    int loadedTokens = 0; ///< Tokens of the prefix that a transfer brings.
    base::time_point loadedAt {}; ///< When the transfer ends.
    routing::priority priority = routing::priority::Normal;
    base::time_point deadline = base::time_point::max();
    base::duration waitLimit = base::duration::max();
};

/// Engine with a prefix cache behind the admission of its agent. Prompts are prefilled one at a time, and
/// each run then yields a token per `secondsPerToken` until its slot is free.
class fake_target {
public:
    struct options {
        int slots = 16;
        double prefillTokensPerSecond = 8'000;
        double secondsPerToken = 0.02;
        std::int64_t cacheTokens = 400'000;
        std::size_t queueCapacity = 64;
        int warmRuns = 0; ///< Runs until a cold engine is warm; 0 for one that is always warm.
        double coldSlowness = 8; ///< Factor on all times of an entirely cold engine.
        bool ramped = false; ///< The bound follows `cold_ramp` instead of `slots`.
        std::function<void(const fake_request&, int recomputed)> firstToken = {};
        std::function<void(const fake_request&)> ended = {};
        std::function<void(const fake_request&)> shed = {}; ///< Refused after it was queued.
    };

    fake_target(base::manual_clock& time, base::scheduler& timers, options opts)
        : m_clock(time)
        , m_timers(timers)
        , m_options(std::move(opts))
        , m_ramp({ .full = m_options.slots })
        , m_admission(time,
              { .bound = m_options.ramped ? m_ramp.bound() : m_options.slots,
                  .queueCapacity = m_options.queueCapacity,
                  .prefillTokensPerSecond = m_options.prefillTokensPerSecond,
                  .start = [this](const routing::work& item) { begin(item.id); },
                  .refuse =
                      [this](const routing::work& item, const base::error&) {
                          const auto node = m_requests.extract(item.id);
                          if (m_options.shed)
                              m_options.shed(node.mapped());
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
            .prefillTokens = request.promptTokens - reusable(request) });
        if (!outcome)
            m_requests.erase(request.id);
        else if (*outcome == routing::admission_outcome::Started)
            begin(request.id);
        return outcome;
    }

    /// Returns the tokens of the prefix \a key in the engine's memory.
    int cached(std::uint64_t key) const
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
            .contextLifetime
            = m_order.empty() ? base::duration::zero() : m_clock.now() - m_cache.at(m_order.back()).usedAt };
    }

    /// Returns the report with the true backlog, which the agent only estimates.
    routing::load_report exactReport() const
    {
        routing::load_report out = report();
        const base::duration backlog = std::max(m_prefillFreeAt - m_clock.now(), base::duration::zero());
        out.pendingPrefillTokens = static_cast<std::int64_t>(
            std::chrono::duration<double>(backlog).count() * out.prefillTokensPerSecond);
        out.pendingPrefillTokens += m_awaitedTokens;
        return out;
    }

    /// Empties the engine's memory and makes it cold; the ramp learns of it only when \a known.
    void turnCold(bool known)
    {
        m_cache.clear();
        m_order.clear();
        m_cachedTokens = 0;
        m_warmth = 0;
        if (known) {
            m_ramp.restart();
            if (m_options.ramped)
                m_admission.setBound(m_ramp.bound());
        }
    }

    int running() const { return m_admission.running(); }
    int outstanding() const { return m_admission.running() + m_admission.queued(); }
    int rampBound() const { return m_ramp.bound(); }
    bool isWarm() const { return slowness() < 1.01; }
    int startsAboveRamp() const { return m_startsAboveRamp; }

private:
    struct cache_entry {
        int tokens;
        base::time_point usedAt;
        std::list<std::uint64_t>::iterator place;
    };

    int reusable(const fake_request& request) const
    {
        return std::min(request.prefixTokens, std::max(request.loadedTokens, cached(request.prefixKey)));
    }

    double slowness() const
    {
        if (m_options.warmRuns == 0)
            return 1;
        // A cold engine gets slower still with each run beyond the first few, as its warm-up is shared.
        const double cold = std::max(0.0, 1 - static_cast<double>(m_warmth) / m_options.warmRuns);
        return 1 + cold * m_options.coldSlowness * std::max(1.0, m_admission.running() / 4.0);
    }

    base::duration seconds(double value) const
    {
        return base::duration(static_cast<std::int64_t>(value * 1e6));
    }

    void begin(routing::work_id id)
    {
        if (m_admission.running() > m_ramp.bound())
            ++m_startsAboveRamp;
        // The engine prefills other prompts while the blocks of this one are on their way.
        const base::time_point now = m_clock.now();
        const base::duration transfer = std::max(m_requests.at(id).loadedAt - now, base::duration::zero());
        const int tokens = m_requests.at(id).promptTokens - m_requests.at(id).loadedTokens;
        m_awaitedTokens += tokens;
        // What a warm engine needs, by the agent's own estimate of the backlog, which includes this run.
        const base::duration expected = transfer
            + seconds(
                static_cast<double>(m_admission.pendingPrefillTokens()) / m_options.prefillTokensPerSecond)
            + seconds(m_requests.at(id).outputTokens * m_options.secondsPerToken);
        m_timers.runAfter(transfer, [this, id, now, tokens, expected] {
            m_awaitedTokens -= tokens;
            prefill(id, now, expected);
        });
    }

    void prefill(routing::work_id id, base::time_point startedAt, base::duration expected)
    {
        const fake_request& request = m_requests.at(id);
        const int reused = reusable(request);
        const int tokens = request.promptTokens - reused;
        const base::time_point now = m_clock.now();
        const base::time_point from = std::max(now, m_prefillFreeAt);
        m_prefillFreeAt = from + seconds(tokens * slowness() / m_options.prefillTokensPerSecond);
        const base::duration decodeTime
            = seconds(request.outputTokens * m_options.secondsPerToken * slowness());
        // The agent sees the speed of each prefill afterwards.
        constexpr double speedSmoothing = 0.3;
        const double speed = m_options.prefillTokensPerSecond / slowness();
        m_timers.runAfter(m_prefillFreeAt - now, [this, id, reused, decodeTime, expected, startedAt, speed] {
            m_observedSpeed += speedSmoothing * (speed - m_observedSpeed);
            m_admission.setPrefillSpeed(m_observedSpeed);
            const fake_request& request = m_requests.at(id);
            remember(request.prefixKey, request.promptTokens + request.outputTokens);
            m_admission.prefillDone(id);
            m_options.firstToken(request, request.prefixTokens - reused);
            m_timers.runAfter(decodeTime, [this, id, expected, startedAt] { end(id, startedAt, expected); });
        });
    }

    void end(routing::work_id id, base::time_point startedAt, base::duration expected)
    {
        const fake_request request = m_requests.extract(id).mapped();
        ++m_warmth;
        // Without a ramp in force it is still kept, to count the starts above it. Lowering precedes the freed
        // slot.
        m_ramp.observe(m_clock.now() - startedAt, expected);
        if (m_options.ramped && m_ramp.bound() < m_admission.bound())
            m_admission.setBound(m_ramp.bound());
        m_admission.finish(id);
        if (m_options.ramped)
            m_admission.setBound(m_ramp.bound());
        m_options.ended(request);
    }

    void remember(std::uint64_t key, int tokens)
    {
        if (const auto found = m_cache.find(key); found != m_cache.end()) {
            m_cachedTokens -= found->second.tokens;
            m_order.erase(found->second.place);
        }
        m_order.push_front(key);
        m_cache[key] = { .tokens = tokens, .usedAt = m_clock.now(), .place = m_order.begin() };
        m_cachedTokens += tokens;
        while (m_cachedTokens > m_options.cacheTokens) {
            m_cachedTokens -= m_cache.at(m_order.back()).tokens;
            m_cache.erase(m_order.back());
            m_order.pop_back();
        }
    }

    base::manual_clock& m_clock;
    base::scheduler& m_timers;
    options m_options;
    routing::cold_ramp m_ramp;
    routing::admission m_admission;
    std::unordered_map<routing::work_id, fake_request> m_requests;
    std::unordered_map<std::uint64_t, cache_entry> m_cache;
    std::list<std::uint64_t> m_order;
    std::int64_t m_cachedTokens = 0;
    std::int64_t m_warmth = 0;
    int m_startsAboveRamp = 0;
    double m_observedSpeed = m_options.prefillTokensPerSecond; ///< Tokens per second, smoothed.
    std::int64_t m_awaitedTokens = 0; ///< To be prefilled after a transfer.
    base::time_point m_prefillFreeAt {};
};

} // namespace marigold::bench
