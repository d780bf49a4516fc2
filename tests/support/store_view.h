#pragma once

#include "fake_kv_store.h"

namespace marigold::testing {

/// What one process sees of a fake service that several processes share: it can be cut off alone, and learns
/// of a new era from its own replies.
class store_view final : public platform::kv_store {
public:
    explicit store_view(fake_kv_store& store)
        : m_store(store)
    {
    }

    bool isCut = false; ///< No call arrives and no reply comes back.

    std::uint64_t era() const override { return m_era.current(); }
    void setEraObserver(platform::state_era::observer raised) override
    {
        m_era.setObserver(std::move(raised));
    }
    void get(std::string_view key, callback<std::optional<platform::kv_entry>> done) override
    {
        if (auto call = guard(done))
            m_store.get(key, std::move(call));
    }
    void put(platform::kv_write write, callback<std::uint64_t> done) override
    {
        if (auto call = guard(done))
            m_store.put(std::move(write), std::move(call));
    }
    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override
    {
        if (auto call = guard(done))
            m_store.remove(key, expectedRevision, std::move(call));
    }
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<platform::kv_entry>> done) override
    {
        if (auto call = guard(done))
            m_store.range(prefix, after, limit, std::move(call));
    }
    void snapshot(std::string_view prefix, callback<platform::kv_snapshot> done) override
    {
        if (auto call = guard(done))
            m_store.snapshot(prefix, std::move(call));
    }
    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override
    {
        if (auto call = guard(done))
            m_store.grantLease(timeToLive, std::move(call));
    }
    void keepAlive(std::uint64_t lease, callback<void> done) override
    {
        if (auto call = guard(done))
            m_store.keepAlive(lease, std::move(call));
    }
    void revokeLease(std::uint64_t lease, callback<void> done) override
    {
        if (auto call = guard(done))
            m_store.revokeLease(lease, std::move(call));
    }
    void watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
        callback<platform::kv_watch_batch> done) override
    {
        if (auto call = guard(done))
            m_store.watch(prefix, afterRevision, waitLimit, std::move(call));
    }

private:
    /// Returns the callback for a call to the service, or none if the call does not arrive.
    template <typename T> callback<T> guard(const callback<T>& done)
    {
        if (isCut) {
            m_store.failLater(done);
            return {};
        }
        return [this, sentIn = m_era.sent(), done](base::result<T> result) {
            const bool isReply = !isCut && (result || result.error().verdict == base::verdict::NotRun);
            if (!isReply || !m_era.replyReceived(sentIn, m_store.era()))
                result = base::mayHaveRun(base::error_reason::Unavailable, "no reply of the present state");
            done(std::move(result));
        };
    }

    fake_kv_store& m_store;
    platform::state_era m_era;
};

} // namespace marigold::testing
