#pragma once

#include "attempt_state.h"

#include <net/event_loop.h>

#include <optional>
#include <string>

namespace marigold::relay {

/// How the head of the answer to a hedge is used.
enum class hedge_answer {
    Foreign, ///< Belongs to another request.
    Refused, ///< The target has not run the request.
    Failed,
    Whole, ///< Becomes usable when it is complete or large.
    Events, ///< A stream of events; becomes usable with its first one.
};

/// The session that has sent a hedge.
class hedge_owner : public answer_handler {
public:
    /// Judges the head of the hedge's answer.
    virtual hedge_answer hedgeAnswerBegins(const message_head& head) = 0;

    /// The answer of the hedge is good enough to replace the first attempt.
    virtual void hedgeUsable() = 0;

    /// The hedge has failed. Its connection is closed or idle.
    virtual void hedgeFailed(const base::error& failure) = 0;
};

/// The second attempt of a request that is late. Holds its answer back until the owner takes it over;
/// afterwards all calls of its connection go to the owner.
class hedged_attempt final : public answer_handler {
public:
    hedged_attempt(net::event_loop& loop, hedge_owner& owner);
    ~hedged_attempt() override;
    hedged_attempt(const hedged_attempt&) = delete;
    hedged_attempt& operator=(const hedged_attempt&) = delete;

    /// Load accounting, context plan and connection, while the attempt is held back.
    attempt_state state;

    /// Returns true if the answer is held back, that is, the hedge has neither ended nor been taken over.
    bool isHeldBack() const { return m_stage == stage::HeldBack; }

    bool isTakenOver() const { return m_stage == stage::TakenOver; }

    /// Returns true if the answer is complete.
    bool hasEnded() const { return m_answerEnded; }

    /// Ends the attempt, or the forwarding to the owner. The connection must have been closed.
    void cancel();

    /// Passes to the owner what was held back, and from now on all that follows.
    void takeOver();

    bool answerBegins(const message_head& head) override;
    void answerChunk(std::string_view chunk) override;
    void answerEnds() override;
    void answerFails(const base::error& failure) override;

private:
    enum class stage { HeldBack, TakenOver, Ended };

    void failLater(const base::error& failure);
    void fail(const base::error& failure);

    net::event_loop& m_loop;
    hedge_owner& m_owner;
    stage m_stage = stage::HeldBack;
    std::optional<hedge_answer> m_answer;
    message_head m_head;
    std::string m_held;
    event_boundary m_boundary;
    bool m_answerEnded = false;
    std::optional<base::error> m_failure; ///< Told by the head of the answer.
    base::timer_id m_failTimer = 0;
};

} // namespace marigold::relay
