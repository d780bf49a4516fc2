#pragma once

#include <relay/relay_metrics.h>

#include <platform/platform.h>

namespace marigold::relay {

/// Forwards calls to the platform's key-value store and counts their results.
class counted_store final : public platform::kv_store {
public:
    counted_store(platform::kv_store& store, relay_metrics& metrics)
        : m_store(store)
        , m_metrics(metrics)
    {
    }

    std::uint64_t era() const override { return m_store.era(); }
    void setEraObserver(platform::state_era::observer raised) override
    {
        m_store.setEraObserver(std::move(raised));
    }
    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override;
    void put(platform::kv_write write, callback<std::uint64_t> done) override;
    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override;
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override;
    void snapshot(std::string_view prefix, callback<platform::kv_snapshot> done) override;
    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override;
    void keepAlive(std::uint64_t lease, callback<void> done) override;
    void revokeLease(std::uint64_t lease, callback<void> done) override;
    void watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
        callback<platform::kv_watch_batch> done) override;

private:
    /// Returns a callback that counts the result of \a call and then calls \a done.
    template <typename T> callback<T> withCounting(std::string_view call, callback<T> done);

    platform::kv_store& m_store;
    relay_metrics& m_metrics;
};

} // namespace marigold::relay
