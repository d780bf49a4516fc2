#pragma once

#include <base/base.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace marigold::platform {

/// Parameters of a run.
struct engine_run_options {
    std::string requestId; ///< Chosen by the caller; identifies the run for resume and cancel.
    std::string model;
    std::string version; ///< The engine refuses the run (`Conflict`) if it serves another weight version.
    std::string prompt;
    int maxTokens = 16;
    double temperature = 0;
    int priority = 0; ///< Runs with a higher value are served first.
    std::string cacheSalt; ///< Prefixes are shared only between runs with the same salt.
};

struct engine_token {
    int index = 0; ///< 0 for the first token of a run.
    std::string text;
};

struct engine_end {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
    std::string version; ///< Weight version that the run used.
};

/// Names of the blocks of a prompt in the cache of an engine.
struct engine_chain {
    std::vector<std::string> blocks;
    int cachedBlocks = 0; ///< Leading blocks that are currently in the engine's memory.
};

/// Port to the data interface of a model engine.
class completion_engine {
public:
    using stream_id = std::uint64_t;
    using token_callback = std::function<void(const engine_token&)>;
    using end_callback = std::function<void(base::result<engine_end>)>;
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~completion_engine() = default;

    /// Starts a run. Calls \a onEnd once; an error has the verdict `NotRun` only if the engine has refused
    /// the run.
    virtual stream_id start(const engine_run_options& run, token_callback onToken, end_callback onEnd) = 0;

    /// Continues the stream of a run from token \a fromIndex; fails with `NotFound` if the run
    /// is unknown to the engine.
    virtual stream_id resume(
        std::string_view requestId, int fromIndex, token_callback onToken, end_callback onEnd)
        = 0;

    /// Stops reading a stream; its callbacks are not called any more. The run continues.
    virtual void detach(stream_id stream) = 0;

    /// Cancels a run.
    virtual void cancel(std::string_view requestId, callback<void> done) = 0;

    /// Queries the names of the blocks of \a prompt.
    virtual void chain(std::string_view cacheSalt, std::string_view prompt, callback<engine_chain> done) = 0;

    /// Reads the content of a block.
    virtual void exportBlock(std::string_view block, callback<std::string> done) = 0;

    /// Adds a block to the engine's cache. The engine does not verify its content.
    virtual void importBlock(std::string_view block, std::string content, callback<void> done) = 0;
};

} // namespace marigold::platform
