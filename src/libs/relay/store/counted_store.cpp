#include "counted_store.h"

namespace marigold::relay {

template <typename T>
counted_store::callback<T> counted_store::withCounting(std::string_view call, callback<T> done)
{
    // Capturing the view is safe: the call names are string literals.
    return [this, call, done = std::move(done)](base::result<T> answer) {
        m_metrics.storeCallEnded(call, answer ? "ok" : base::nameOf(answer.error().verdict));
        done(std::move(answer));
    };
}

void counted_store::get(std::string_view key, callback<std::optional<platform::kv_entry>> done)
{
    m_store.get(key, withCounting("get", std::move(done)));
}

void counted_store::put(platform::kv_write write, callback<std::uint64_t> done)
{
    m_store.put(std::move(write), withCounting("put", std::move(done)));
}

void counted_store::remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done)
{
    m_store.remove(key, expectedRevision, withCounting("remove", std::move(done)));
}

void counted_store::range(std::string_view prefix, std::string_view after, std::size_t limit,
    callback<std::vector<platform::kv_entry>> done)
{
    m_store.range(prefix, after, limit, withCounting("range", std::move(done)));
}

void counted_store::snapshot(std::string_view prefix, callback<platform::kv_snapshot> done)
{
    m_store.snapshot(prefix, withCounting("snapshot", std::move(done)));
}

void counted_store::grantLease(base::duration timeToLive, callback<std::uint64_t> done)
{
    m_store.grantLease(timeToLive, withCounting("grant_lease", std::move(done)));
}

void counted_store::keepAlive(std::uint64_t lease, callback<void> done)
{
    m_store.keepAlive(lease, withCounting("keep_alive", std::move(done)));
}

void counted_store::revokeLease(std::uint64_t lease, callback<void> done)
{
    m_store.revokeLease(lease, withCounting("revoke_lease", std::move(done)));
}

void counted_store::watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
    callback<platform::kv_watch_batch> done)
{
    m_store.watch(prefix, afterRevision, waitLimit, withCounting("watch", std::move(done)));
}

} // namespace marigold::relay
