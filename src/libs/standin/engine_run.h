#pragma once

#include "standin_server.h"

#include <string>
#include <vector>

namespace marigold::standin {

/// One run of the engine stand-in, from its queue to a while after its end.
struct engine_run {
    std::string requestId;
    std::string prompt;
    std::string salt;
    std::string version; ///< Empty until the run starts; it keeps the version it started with.
    int priority = 0; ///< Higher runs first.
    int maxTokens = 16;
    std::uint64_t order = 0;
    std::vector<std::string> blocks;
    std::size_t cachedBlocks = 0;
    double prefillLeftBytes = 0;
    bool prefilled = false;
    bool isCorrupt = false; ///< Its context did not belong to it.
    bool isDone = false;
    bool wasCancelled = false;
    int decoded = 0;
    std::vector<std::string> tokens;
    std::shared_ptr<net::http_exchange> listener;
    int delivered = 0; ///< Tokens written to the listener.
    int piecesUntilCut = -1; ///< Breaks the stream when it reaches zero; negative for never.
    base::time_point ended {};
};

} // namespace marigold::standin
