#pragma once

#include "run_reader.h"

#include <platform/platform.h>
#include <routing/routing.h>

#include <memory>
#include <string>

namespace marigold::agent {

/// A run from its admission to its end at the engine.
struct active_run {
    protocol::run_request request;
    base::digest128 id {};
    base::digest128 attempt {};
    std::string engineRequestId; ///< Request id at the engine; depends on the team.
    std::shared_ptr<run_reader> reader;
    routing::work_id work = 0;
    platform::completion_engine::stream_id stream = 0;
    int received = 0; ///< Number of received tokens, which is the index of the next one.
    std::uint64_t deliverAfterSequence = 0; ///< Chunks up to this sequence number are not sent, since the
                                            ///< reader of the resumed stream already has them.
    int remainingResumes = 0;
    bool isStreaming = false;
    bool isRecovered = false; ///< Resumed at the engine after a restart of this process.
    base::time_point startedAt {};
};

} // namespace marigold::agent
