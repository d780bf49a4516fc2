#pragma once

#include "standin_server.h"

namespace marigold::standin {

/// Stand-in for the key-value service of the platform: compare-and-swap, leases and watches over HTTP, in
/// memory.
///
/// - `GET /v1/kv/KEY` returns `{"value": base64, "revision": N}` or 404.
/// - `PUT /v1/kv/KEY` takes `{"value": base64, "expected_revision": N, "lease": ID}`; 409 if the comparison
/// fails.
/// - `DELETE /v1/kv/KEY?expected_revision=N`.
/// - `GET /v1/range?prefix=P&after=K&limit=N`, `GET /v1/watch?prefix=P&after=REVISION&wait_ms=N` (long poll).
/// - `POST /v1/lease` with `{"ttl_ms": N}`, `POST /v1/lease/ID/keepalive`, `DELETE /v1/lease/ID`.
///
/// Calls that exceed the rates are rejected with status 429.
class kv_service {
public:
    struct options {
        int readsPerSecond = 2000;
        int writesPerSecond = 500;
        base::duration answerTime = std::chrono::milliseconds(2);
    };

    kv_service(net::event_loop& loop, standin_server& server, options opts);
    ~kv_service();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::standin
