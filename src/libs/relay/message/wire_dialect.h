#pragma once

#include "message_parser.h"
#include <relay/targets/target_load_report.h>
#include <relay/targets/target_notice.h>

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

/// Metadata of a request, besides the bytes that are forwarded.
struct relay_request {
    std::string attemptId = {}; ///< Unique for each attempt of a caller; echoed in the answer.
    std::string host = {};
    std::optional<base::duration> timeLimit = {}; ///< How long the caller waits.
    std::string key = {}; ///< Key of the caller's team; empty if there is none.
    std::string model = {}; ///< Empty for a plain service.
    /// In order; the last part belongs to this request or its session only.
    std::vector<prompt_part> parts = {};
    int promptTokens = 0;
    int maxOutputTokens = 0;

    /// Returns the tokens of the parts that other prompts may share: all but the last.
    int sharedTokens() const;
};

/// Metadata of an answer about its target and run.
struct target_answer {
    std::string attemptId = {};
    bool notRun = false; ///< The target states that it has not run the request and will not.
    /// A caller takes the status for that statement, whether or not the target makes it.
    bool impliesNotRun = false;
    /// The answer has the mark of the target; a success status without it counts as a failure.
    bool authentic = false;
    /// An intermediary has changed the body, for example by a content encoding.
    bool encoded = false;
    std::optional<int> weightVersion = {};
    target_notice notice = {};
    std::optional<target_load_report> load = {};
};

/// Places from which a target should fetch context and where it should save it, one entry per part of the
/// prompt.
struct context_plan {
    std::vector<std::optional<net::endpoint>> fetchFrom = {};
    std::vector<std::optional<net::endpoint>> saveTo = {};
};

/// Fields that this process adds to a forwarded request.
struct forward_fields {
    std::string_view attemptId = {};
    std::optional<base::duration> timeLeft = {};
    std::string_view targetId = {}; ///< Another target at the same address rejects the request.
    std::string_view team = {};
    std::optional<int> weightVersion = {}; ///< A target with other weights rejects the request.
    std::optional<int> priority = {}; ///< 0 is the most urgent.
    std::string_view cacheScope = {}; ///< Context is shared only within equal scopes.
    const context_plan* context = nullptr;
    /// Time on the platform's clock at which a fetch that has not ended is given up for computing the
    /// context.
    std::optional<std::int64_t> fetchUntilMs = {};
    std::optional<std::string> resumeAfter = {}; ///< Id of the last event that was delivered.
};

/// Interface to the header fields of a platform.
class wire_dialect {
public:
    virtual ~wire_dialect() = default;

    /// Reads the fields of a request; returns `InvalidRequest` if a required field is missing or occurs
    /// twice.
    virtual base::result<relay_request> readRequest(const message_head& head) const = 0;

    /// Returns the fields to forward: those of the caller that targets may receive, and \a added.
    virtual net::http_headers forwardedFields(
        const message_head& head, const forward_fields& added) const = 0;

    virtual target_answer readAnswer(const message_head& head) const = 0;

    /// Returns the fields of a target's answer that are forwarded to the caller.
    virtual net::http_headers answerFields(const message_head& head) const = 0;

    /// Returns the fields of an answer that this process generates for the request \a attemptId.
    virtual net::http_headers ownAnswerFields(
        std::string_view attemptId, base::duration retryAfter) const = 0;
};

} // namespace marigold::relay
