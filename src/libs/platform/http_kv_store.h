#pragma once

#include "kv_store.h"

#include <net/net.h>

#include <memory>

namespace marigold::platform {

/// Accesses the key-value service over its HTTP interface.
class http_kv_store final : public kv_store {
public:
    /// Kind of a call, for counting.
    enum class call_kind {
        Get,
        Put,
        Remove,
        Range,
        Lease,
        Watch,
    };

    struct options {
        net::endpoint service;
        base::duration timeout = std::chrono::seconds(1); ///< For one call; a watch adds its wait time.
        /// Called after each call; the reason is empty if the call succeeded.
        std::function<void(call_kind, std::optional<base::error_reason>)> onCall = {};
    };

    /// Number of calls since the start, counted in the same way as for the rate limits of the service.
    struct call_counts {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t failures = 0;
    };

    http_kv_store(net::http_client& client, options opts);
    ~http_kv_store() override;

    void get(std::string_view key, callback<std::optional<kv_entry>> done) override;
    void put(kv_write write, callback<std::uint64_t> done) override;
    void remove(std::string_view key, std::uint64_t expectedRevision, callback<void> done) override;
    void range(std::string_view prefix, std::string_view after, std::size_t limit,
        callback<std::vector<kv_entry>> done) override;
    void grantLease(base::duration timeToLive, callback<std::uint64_t> done) override;
    void keepAlive(std::uint64_t lease, callback<void> done) override;
    void revokeLease(std::uint64_t lease, callback<void> done) override;
    void watch(std::string_view prefix, std::uint64_t afterRevision, base::duration waitLimit,
        callback<kv_watch_batch> done) override;

    const call_counts& counts() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::platform
