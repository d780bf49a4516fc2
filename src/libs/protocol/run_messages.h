#pragma once

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::protocol {

/// Load that an agent adds to each of its answers, so that entries learn it without extra messages.
struct agent_load {
    int running = 0;
    int queued = 0;
    int bound = 0; ///< Concurrent runs that admission allows now.
    std::int64_t pendingPrefillTokens = 0;
    double prefillTokensPerSecond = 0;
    base::duration serviceTime {};
    std::string version = {}; ///< Weight version of an engine.

    std::string encode() const;
    static base::result<agent_load> decode(std::string_view text);
};

/// Asks an agent to run a prompt at its engine (`POST /agent/run`).
struct run_request {
    std::string run; ///< 32 hexadecimal digits; names the run at agent and engine.
    std::string attempt; ///< 32 hexadecimal digits.
    std::uint32_t epoch = 0;
    std::string team;
    std::string owner; ///< Id of the entry that reads the answer.
    std::string model;
    std::string version; ///< Weight version that the request must run with.
    std::string prompt;
    int maxTokens = 16;
    double temperature = 0;
    int priority = 1; ///< 0 interactive, 1 normal, 2 batch.
    base::duration remaining {}; ///< Until the deadline, on the clock of the sender.
    base::duration waitLimit
        = base::duration::max(); ///< The agent refuses the run when it would wait longer.
    std::string cacheSalt; ///< Separates teams and versions in the engine's prefix cache.
    std::vector<std::string> blockKeys; ///< Of the whole blocks of the prompt, hexadecimal.
    int loadBlocks = 0; ///< Leading blocks to load from `loadFrom` before the run.
    std::string loadFrom; ///< `ADDRESS:PORT` of the agent of a store.
    std::string saveTo; ///< Store that keeps the blocks after the run; empty for none.

    std::string encode() const;

    /// Parses a body; an error names the field.
    static base::result<run_request> decode(std::string_view text);
};

/// One piece of an answer on its way from agent to entry, as data of a server-sent event.
struct run_piece {
    std::string attempt;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string text;
    std::uint32_t tokens = 0;
    bool isFinal = false;
    std::string finishReason; ///< Final piece only.
    std::uint32_t promptTokens = 0; ///< Final piece only, as the next two.
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;

    std::string encode() const;
    static base::result<run_piece> decode(std::string_view text);
};

/// Asks an agent to continue a run (`POST /agent/resume`).
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

/// Header with the load of the answering agent.
inline constexpr std::string_view loadHeader = "X-Marigold-Load";

/// Header with an encoded `call_request`.
inline constexpr std::string_view callHeader = "X-Marigold-Call";

/// Header that says "1" when the answer of an earlier call with the same key is repeated.
inline constexpr std::string_view replayedHeader = "X-Marigold-Replayed";

/// Encodes \a problem as the JSON body that callers and processes get.
std::string encodeError(const base::error& problem);

/// Decodes such a body. Anything else gives \a fallback.
base::error decodeError(std::string_view text, base::error fallback);

} // namespace marigold::protocol
