#pragma once

#include "model_engine.h"

#include <net/net.h>

namespace marigold::platform {

/// Accesses the control interface of a model engine over HTTP.
class http_model_engine final : public model_engine {
public:
    struct options {
        net::endpoint engine;
        base::duration stateTimeout = std::chrono::seconds(1);
        base::duration orderTimeout = std::chrono::seconds(30); ///< Includes the loading of weights.
    };

    http_model_engine(net::http_client& client, options opts)
        : m_client(client)
        , m_options(std::move(opts))
    {
    }

    void state(callback<engine_state> done) override;
    void order(engine_order order, callback<void> done) override;
    void cancelLoading(callback<void> done) override;

private:
    net::http_client& m_client;
    options m_options;
};

} // namespace marigold::platform
