#pragma once

#include "engine_cache.h"
#include "standin_server.h"

namespace marigold::standin {

/// Stand-in for a model engine with continuous batching, a prefix cache, priorities and weight loading.
///
/// - `POST /v1/completions` with `{"request_id", "model", "prompt", "max_tokens", "priority", "cache_salt",
/// "version"}` streams
///   server-sent events: one per token `{"index", "text"}`, then `{"done": true, "finish_reason", "usage",
///   "version", "blocks"}`.
/// - `GET /engine/resume?request_id=ID&from=N` continues the stream of a run from token N.
/// - `POST /engine/cancel` with `{"request_id"}`.
/// - `GET /engine/state`, `GET /engine/events?after=N` (delayed and with gaps).
/// - `GET /engine/export?block=NAME`, `PUT /engine/import?block=NAME`, `POST /engine/chain`.
/// - `POST /engine/orders` with `{"kind", "model", "value", "fencing_token"}`, `POST /engine/cancel_loading`.
/// - `POST /standin/cold` makes the engine cold at once without any notification.
///
/// The text of a run depends only on the prompt, the model and the weight version.
class engine_service {
public:
    struct options {
        std::string model = "default";
        std::string version = "v1";
        int slots = 8;
        double prefillBytesPerSecond = 400'000; ///< About 100,000 tokens per second.
        base::duration tokenTime = std::chrono::milliseconds(10);
        engine_cache::options cache = {};
        bool checksFencing = true;
        int warmUpTokens = 200; ///< Tokens after which a cold engine is warm.
        int coldBound = 2; ///< Concurrent runs that a cold engine can serve; with more, all runs are
                           ///< cancelled and the engine stays cold.
        double coldSlowdownFactor = 4;
        base::duration eventLag = std::chrono::milliseconds(300);
        double eventGapProbability = 0.02;
        base::duration loadReportLag = std::chrono::milliseconds(200);
        std::optional<net::endpoint> weightStore = {};
        std::uint64_t seed = 1;
    };

    engine_service(net::event_loop& loop, standin_server& server, options opts);
    ~engine_service();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns token \a index of the response to \a prompt. Tests and measurements compare responses with it.
std::string engineToken(std::string_view prompt, std::string_view model, std::string_view version, int index);

} // namespace marigold::standin
