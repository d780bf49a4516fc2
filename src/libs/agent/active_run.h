#pragma once

#include "run_reader.h"

#include <platform/platform.h>
#include <routing/routing.h>

#include <memory>
#include <string>

namespace marigold::agent {

/// A run between its admission and its end at the engine.
struct active_run {
    protocol::run_request request;
    base::digest128 id {};
    base::digest128 attempt {};
    std::string engineId; ///< Name of the run at the engine; bound to the team.
    std::shared_ptr<run_reader> reader;
    routing::work_id work = 0;
    platform::completion_engine::stream_id stream = 0;
    int received = 0; ///< Tokens that arrived, which is the index of the next one.
    std::uint64_t deliverAfter = 0; ///< The reader has the pieces up to this one.
    int resumesLeft = 0;
    bool isStreaming = false;
    bool isRecovered = false; ///< Found at the engine after this process was replaced.
    base::time_point startedAt {};
};

} // namespace marigold::agent
