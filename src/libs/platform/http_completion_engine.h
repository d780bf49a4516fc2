#pragma once

#include "completion_engine.h"

#include <net/net.h>

#include <memory>

namespace marigold::platform {

/// Accesses the data interface of a model engine over HTTP.
class http_completion_engine final : public completion_engine {
public:
    struct options {
        net::endpoint engine;
        base::duration callTimeout = std::chrono::seconds(5); ///< For all calls except streams.
        base::duration streamTimeout = std::chrono::minutes(30); ///< For a complete answer.
    };

    http_completion_engine(net::http_client& client, options opts);
    ~http_completion_engine() override;

    stream_id start(const engine_run_options& run, token_callback onToken, end_callback onEnd) override;
    stream_id resume(
        std::string_view requestId, int fromIndex, token_callback onToken, end_callback onEnd) override;
    void detach(stream_id stream) override;
    void cancel(std::string_view requestId, callback<void> done) override;
    void chain(std::string_view cacheSalt, std::string_view prompt, callback<engine_chain> done) override;
    void exportBlock(std::string_view block, callback<std::string> done) override;
    void importBlock(std::string_view block, std::string content, callback<void> done) override;

private:
    stream_id openStream(net::http_call call, token_callback onToken, end_callback onEnd);

    net::http_client& m_client;
    options m_options;
};

} // namespace marigold::platform
