#pragma once

#include <platform/platform.h>

namespace marigold::testing {

/// The path of one process to a key-value service that several share: replies arrive after `delay`.
class delayed_kv_store final : public platform::kv_store {
public:
    delayed_kv_store(platform::kv_store& store, base::scheduler& timers)
        : m_store(store)
        , m_timers(timers)
    {
    }

    base::duration delay { 0 };

    std::uint64_t era() const override { return m_store.era(); }
    void setEraObserver(platform::state_era::observer raised) override
    {
        m_store.setEraObserver(std::move(raised));
    }
    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override
    {
        m_store.get(key, late(std::move(done)));
    }
    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        m_store.put(std::move(write), late(std::move(done)));
    }
    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override
    {
        m_store.remove(key, expectedRevision, late(std::move(done)));
    }
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override
    {
        m_store.range(prefix, after, limit, late(std::move(done)));
    }
    void snapshot(std::string_view prefix, callback<platform::kv_snapshot> done) override
    {
        m_store.snapshot(prefix, late(std::move(done)));
    }
    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override
    {
        m_store.grantLease(timeToLive, late(std::move(done)));
    }
    void keepAlive(std::uint64_t lease, callback<void> done) override
    {
        m_store.keepAlive(lease, late(std::move(done)));
    }
    void revokeLease(std::uint64_t lease, callback<void> done) override
    {
        m_store.revokeLease(lease, late(std::move(done)));
    }
    void watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
        callback<platform::kv_watch_batch> done) override
    {
        m_store.watch(prefix, afterRevision, waitLimit, late(std::move(done)));
    }

private:
    template <typename T> callback<T> late(callback<T> done)
    {
        return [this, done = std::move(done)](base::result<T> reply) {
            if (delay == base::duration::zero())
                return done(std::move(reply));
            m_timers.runAfter(delay, [done, reply = std::move(reply)] { done(reply); });
        };
    }

    platform::kv_store& m_store;
    base::scheduler& m_timers;
};

} // namespace marigold::testing
