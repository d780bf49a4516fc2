#pragma once

#include "run_reader.h"

#include <node/node.h>

#include <functional>

namespace marigold::agent {

/// Writes the chunks of a run as server-sent events.
class http_run_reader final : public run_reader {
public:
    /// \a load returns the load of the agent. It is called when the response starts, for the load header, and
    /// when it ends, for the `load` event.
    http_run_reader(node::exchange_ptr exchange, std::function<std::string()> load)
        : m_exchange(std::move(exchange))
        , m_load(std::move(load))
    {
    }

    void started() override;
    void writeChunk(const protocol::run_chunk& chunk) override;
    void failed(const base::error& problem) override;
    bool isOpen() const override;

private:
    node::exchange_ptr m_exchange;
    std::function<std::string()> m_load;
    bool m_hasStarted = false;
};

} // namespace marigold::agent
