#pragma once

#include "message_parser.h"

#include <base/base.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// One part of a prompt. Prompts that begin with the same parts share their context.
struct prompt_part {
    std::string id;
    int tokens = 0;
};

/// What a request says of itself, beside the bytes that are forwarded.
struct relay_request {
    std::string attemptId = {}; ///< Unique for each attempt of a caller; the answer repeats it.
    std::string host = {};
    std::optional<base::duration> timeLimit = {}; ///< How long the caller waits.
    std::string key = {}; ///< Of the caller's team; empty if there is none.
    std::string model = {}; ///< Empty for a plain service.
    std::vector<prompt_part> parts = {}; ///< In order; the last one belongs to this request or its session.
    int promptTokens = 0;
    int maxOutputTokens = 0;

    /// Tokens of the parts that other prompts may share: all but the last.
    int sharedTokens() const;
};

/// What an answer says of its target and its run.
struct target_answer {
    std::string attemptId = {};
    bool notRun = false; ///< The target states that it has not run the request and will not.
    bool authentic = false; ///< Marked by the target as its own; a success without the mark is none.
    bool encoded = false; ///< Some intermediary has changed the body.
    std::optional<int> weightVersion = {};
};

/// Context that a target should take from or leave at other places, one entry for each part of the prompt.
struct context_plan {
    std::vector<std::optional<net::endpoint>> fetchFrom = {};
    std::vector<std::optional<net::endpoint>> saveTo = {};
};

/// What this process adds to a request that it forwards.
struct forward_fields {
    std::string_view attemptId = {};
    std::optional<base::duration> timeLeft = {};
    std::string_view targetId = {}; ///< Another target at the same address refuses.
    std::string_view team = {};
    std::optional<int> weightVersion = {}; ///< A target with other weights refuses.
    std::optional<int> priority = {}; ///< 0 is served first.
    std::string_view cacheScope = {}; ///< Context is shared only under equal scopes.
    const context_plan* context = nullptr;
    std::optional<std::string> resumeAfter = {}; ///< Id of the last event that was delivered.
};

/// Port to the header fields of one platform.
class wire_dialect {
public:
    virtual ~wire_dialect() = default;

    /// Reads the fields of a request; `InvalidRequest` if one that matters is missing or stands twice.
    virtual base::result<relay_request> readRequest(const message_head& head) const = 0;

    /// Returns the fields to forward: those of the caller that a target may see, and \a added.
    virtual net::http_headers forwardedFields(
        const message_head& head, const forward_fields& added) const = 0;

    virtual target_answer readAnswer(const message_head& head) const = 0;

    /// Returns the fields of an answer that the caller gets.
    virtual net::http_headers answerFields(const message_head& head) const = 0;

    /// Returns the fields of an answer of our own to the request \a attemptId.
    virtual net::http_headers ownAnswerFields(
        std::string_view attemptId, base::duration retryAfter) const = 0;
};

} // namespace marigold::relay
