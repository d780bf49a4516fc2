#pragma once

#include "standin_server.h"

#include <string>
#include <vector>

namespace marigold::standin {

/// One run of the engine stand-in, from queueing until some time after its end.
struct engine_run {
    std::string requestId;
    std::string prompt;
    std::string salt;
    std::string version; ///< Version with which the run started; empty while it is queued.
    int priority = 0; ///< Higher values run first.
    int maxTokens = 16;
    std::uint64_t order = 0;
    std::vector<std::string> blocks;
    std::size_t cachedBlocks = 0;
    double remainingPrefillBytes = 0;
    bool isPrefilled = false;
    bool isCorrupt = false; ///< The cached context did not belong to the run.
    bool isDone = false;
    bool wasCancelled = false;
    int decoded = 0;
    std::vector<std::string> tokens;
    std::shared_ptr<net::http_exchange> listener;
    int delivered = 0; ///< Tokens written to the listener.
    int chunksUntilCut = -1; ///< The stream is aborted when this reaches zero; negative for never.
    base::time_point ended {};
};

} // namespace marigold::standin
