#pragma once

#include "target_table.h"

namespace marigold::routing {

/// How the context of a prompt reaches the engine.
enum class context_action {
    Recompute, ///< The engine prefills the whole prompt.
    Reuse, ///< The engine holds the prefix in its own memory.
    Load, ///< Stored blocks are transferred from a store.
};

/// Returns the lower-case name of \a action.
std::string_view nameOf(context_action action);

/// Optimisation goal of a deployment.
enum class serving_goal {
    LeastRecomputation, ///< Share of context recomputed (transcription).
    FirstToken, ///< Time to first token (tagging, lookups).
};

/// Returns the snake-case name of \a goal.
std::string_view nameOf(serving_goal goal);

/// Size of a prompt.
struct prompt_size {
    int promptTokens = 0;
    int prefixTokens = 0; ///< Part that was computed earlier; at most `promptTokens`.
};

/// Available sources of the prefix of a prompt for one candidate.
struct context_offer {
    int engineTokens = 0; ///< Hint: tokens of the prefix in the engine's memory.
    int storedTokens = 0; ///< Tokens of the prefix in a store.
    base::duration transferTime { 0 }; ///< Time to move all `storedTokens` to this candidate.
};

struct cost_estimate {
    context_action action = context_action::Recompute;
    double waitSeconds = 0; ///< Until the target can begin the prefill.
    double beginSeconds = 0; ///< Until the prefill begins: the wait or the transfer, whichever is longer.
    double firstTokenSeconds = 0;
    int recomputedTokens = 0; ///< Prefix tokens that are computed again.
    int prefillTokens = 0; ///< All tokens that the engine computes.
    double score = 0; ///< Weighted seconds, depending on the goal; lower is better.
};

/// Expected cost of sending one request to one target.
class cost_model {
public:
    /// Assumed until a target has reported its speed.
    static constexpr double defaultPrefillTokensPerSecond = 4000;

    /// Returns the cheapest way to serve a prompt of \a size with \a offer at a target under \a load.
    static cost_estimate estimate(
        serving_goal goal, const prompt_size& size, const load_estimate& load, const context_offer& offer);

    /// Returns the expected time until a slot is free and the prefill backlog is processed, in seconds.
    static double waitSeconds(const load_estimate& load);

    /// Returns the prefill speed to expect, in tokens per second.
    static double prefillSpeed(const load_estimate& load);

    /// Returns the seconds that one second of recomputed prefill adds to the score.
    static double recomputationWeight(serving_goal goal);
};

} // namespace marigold::routing
