#pragma once

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::protocol {

/// Load that an agent adds to each of its replies, so that entries need no extra messages for it.
struct agent_load {
    int running = 0;
    int queued = 0;
    int bound = 0; ///< Concurrent runs that admission currently allows.
    std::int64_t pendingPrefillTokens = 0;
    double prefillTokensPerSecond = 0;
    base::duration serviceTime {};
    std::string version = {}; ///< Weight version of an engine.

    std::string encode() const;
    static base::result<agent_load> decode(std::string_view text);
};

/// Requests that an agent runs a prompt on its engine (`POST /agent/run`).
struct run_request {
    std::string run; ///< 32 hexadecimal digits; identifies the run at agent and engine.
    std::string attempt; ///< 32 hexadecimal digits.
    std::uint32_t epoch = 0;
    std::string team;
    std::string owner; ///< Id of the entry that receives the answer.
    std::string model;
    std::string version; ///< Weight version that the run must use.
    std::string prompt;
    int maxTokens = 16;
    double temperature = 0;
    int priority = 1; ///< 0 interactive, 1 normal, 2 batch.
    base::duration remaining {}; ///< Time until the deadline when the request was sent.
    base::duration waitLimit = base::duration::max(); ///< The agent refuses the run if it would wait longer.
    std::string cacheSalt; ///< Separates teams and versions in the engine's prefix cache.
    std::vector<std::string> blockKeys; ///< Keys of the complete blocks of the prompt, hexadecimal.
    int loadBlocks = 0; ///< Leading blocks to load from `loadFrom` before the run.
    std::string loadFrom; ///< `ADDRESS:PORT` of a store's agent.
    std::string saveTo; ///< Store to which the blocks are saved after the run; empty for none.

    std::string encode() const;

    /// Parses a request body; errors name the field.
    static base::result<run_request> decode(std::string_view text);
};

/// A chunk of an answer, sent from agent to entry as data of a server-sent event.
struct run_chunk {
    std::string attempt;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string text;
    std::uint32_t tokens = 0;
    bool isFinal = false;
    std::string finishReason; ///< Final chunk only.
    std::uint32_t promptTokens = 0; ///< Final chunk only, as are the next two.
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;

    std::string encode() const;
    static base::result<run_chunk> decode(std::string_view text);
};

/// Requests that an agent continues the stream of a run (`POST /agent/resume`).
struct resume_message {
    std::string run;
    std::string attempt;
    std::uint32_t epoch = 0;
    std::string team;
    std::string owner;
    std::uint64_t afterSequence = 0;

    std::string encode() const;
    static base::result<resume_message> decode(std::string_view text);
};

/// Describes a call to a plain service (`POST /agent/call`); the body of the call is the body of the request.
struct call_request {
    std::string team;
    std::string service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string idempotencyKey; ///< Empty for an idempotent call.
    base::duration remaining {};

    std::string encode() const;
    static base::result<call_request> decode(std::string_view text);
};

/// Header with the load of the replying agent.
inline constexpr std::string_view loadHeader = "X-Marigold-Load";

/// Header with an encoded `call_request`.
inline constexpr std::string_view callHeader = "X-Marigold-Call";

/// Header with the value "1" if the reply of an earlier call with the same key is repeated.
inline constexpr std::string_view replayedHeader = "X-Marigold-Replayed";

/// Encodes \a problem as the JSON body sent to callers and processes.
std::string encodeError(const base::error& problem);

/// Decodes a body written by `encodeError`. Returns \a fallback for any other text.
base::error decodeError(std::string_view text, base::error fallback);

} // namespace marigold::protocol
