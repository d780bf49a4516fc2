#pragma once

#include "answer_stage.h"

#include <base/base.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::relay {

/// Returns the name under which \a part is known to the quarantine. Requests of an isolated team share no
/// names with others; \a isolatedTeam is empty for all other teams.
std::string scopedPartName(std::string_view model, std::string_view isolatedTeam, std::string_view part);

/// Evidence of one request against the shared parts of its prompt: its target ended before the answer was
/// whole.
struct target_end {
    std::string target; ///< Incarnation of the target.
    std::vector<std::string> parts = {}; ///< Names of the shared parts, in order.
    /// Those of `parts` with which a request was answered shortly before, as far as the reporter knows.
    std::vector<std::string> soundParts = {};
    bool answerBegun = false; ///< The head of the answer had been received.
    int events = 0; ///< Whole events of the answer that had been received.
};

/// A part with which no request is sent to a target.
struct blocked_part {
    std::string part;
    /// Parts that every request under which targets ended has in common, with \a part. Only requests with all
    /// of them are refused.
    std::vector<std::string> with = {};
    int ends = 0; ///< Targets that ended, by the weight of the evidence.
    std::vector<std::string> targets = {}; ///< Incarnations of some of them, the last ones.
};

/// One process sends one request with a blocked part, to find out whether it is still harmful.
struct trial_start {
    std::string part;
    int number = 0; ///< Of the trials with the part.
};

/// A part of which a process knows that a request with it was answered.
struct sound_part {
    std::string part;
    /// The answer came after the evidence against the part, which is thereby refuted. Otherwise, more
    /// evidence is required.
    bool refutes = false;
    /// How far the answer has come; it refutes the evidence of answers that had not come as far.
    int stage = wholeAnswerStage;
};

/// Decides which parts of prompts end the targets that begin to answer them, from the ends that all processes
/// have seen.
///
/// A part is blocked if targets ended under it repeatedly and no request with it was answered in between. An
/// end is evidence against all shared parts of the request, so that four rules protect sound ones: an answer
/// clears every part of its prompt, and one that goes on refutes the ends of answers that had not come as
/// far; of parts that were answered shortly before, more ends are required, spread over some time, since many
/// targets may end at once for another reason; an end in the middle of a stream counts less, and nothing
/// against such parts; and an end that a blocked part explains is no evidence against others. A request is
/// refused only if it has all parts that the evidence against the blocked part has in common. See
/// docs/design/quarantine.md.
class part_quarantine {
public:
    struct options {
        /// Weight of an end under a request whose answer had not begun: it may have waited at the target.
        double unbegunWeight = 0.5;
        /// The same if the answer was past its beginning: the end may have cut a stream that ran there.
        double runningWeight = 0.5;
        /// Weight of the ends that block a part.
        double blockWeight = 2;
        /// The same while targets end for other reasons as well: by chance, a part that few requests have is
        /// at two of them.
        double noisyBlockWeight = 3;
        /// Other ends within `noiseTime` from which that holds.
        std::size_t noisyEnds = 10;
        base::duration noiseTime = std::chrono::seconds(20);
        /// The same for a part with which a request was answered within `soundTime` before.
        double soundBlockWeight = 4;
        /// Ends within this time of each other count once.
        base::duration separation = std::chrono::milliseconds(100);
        /// The same for a part that was answered shortly before.
        base::duration soundSeparation = std::chrono::milliseconds(300);
        base::duration soundTime = std::chrono::seconds(60);
        /// Time for which ends count, and for which a part is blocked for the first time. Doubled each time
        /// that it is blocked again.
        base::duration blockTime = std::chrono::minutes(10);
        base::duration maxBlockTime = std::chrono::hours(4);
        /// Time after the end of a block in which one end blocks the part again.
        base::duration probation = std::chrono::hours(4);
        /// Time from a block to the first trial, and its growth from trial to trial.
        base::duration trialInterval = std::chrono::seconds(20);
        int trialGrowth = 3;
        std::size_t maxEnds = 128;
        /// Names of parts in all evidence; the oldest of it goes first.
        std::size_t maxNames = 16'384;
        std::size_t maxBlocks = 1024;
        std::size_t maxAnswered = 4096;
    };

    /// Reports of changes; each may be empty.
    struct observer {
        std::function<void(const blocked_part&)> blocked = {}; ///< Also when fewer parts are required.
        std::function<void(std::string_view part, std::string_view reason)> released = {};
        /// The other processes need to know that a part was answered here, before or after the evidence.
        std::function<void(const sound_part&)> sound = {};
    };

    part_quarantine(const base::clock& time, observer calls, options opts);

    /// Adds the evidence of this or another process. Ends that are known already are ignored.
    void targetEnded(const target_end& end);

    /// Records that a request of this process with \a parts was answered.
    void answered(std::span<const std::string> parts);

    /// Records that an answer of this process to a request with \a parts has reached \a stage, and goes on.
    void stageReached(std::span<const std::string> parts, int stage);

    /// Records that another process answered a request.
    void soundReported(const sound_part& report);

    /// Adopts the decision of another process or of an operator. A decision of an operator stays in force
    /// until it is withdrawn, whatever is answered.
    void blockReported(const blocked_part& block, bool byOperator = false);

    /// Withdraws the decision of an operator.
    void withdrawn(std::string_view part);

    /// Returns the number of the next trial with \a part if one is due; only blocked parts that no operator
    /// has blocked are tried.
    std::optional<int> dueTrial(std::string_view part) const;

    /// Lets no trial be due before \a time.
    void postponeTrials(base::time_point time) { m_trialsFrom = time; }

    /// Records that a process has started a trial.
    void trialStarted(const trial_start& trial);

    /// Returns the block that forbids to send a request with \a parts; null if there is none.
    const blocked_part* find(std::span<const std::string> parts) const;

    /// Returns the time until the block of \a part ends.
    base::duration remaining(std::string_view part) const;

    /// Returns the time after which a request with the blocked \a part may be served again.
    base::duration retryAfter(std::string_view part) const;

    /// Returns those of \a parts with which a request was answered here within `soundTime`.
    std::vector<std::string> answeredHere(std::span<const std::string> parts) const;

    /// Ends blocks whose time is over, and forgets old evidence. To be called periodically.
    void removeExpired();

    std::vector<blocked_part> blocks() const;

    /// Returns the blocks that no operator has set.
    std::vector<blocked_part> ownBlocks() const;
    std::size_t suspects() const { return m_suspects.size(); }
    std::size_t evidence() const { return m_ends.size(); }

private:
    /// Events of an answer that is known from a block only; a whole answer alone refutes its evidence.
    static constexpr int unknownEvents = -1;

    /// The evidence of one ended target.
    struct end_record {
        std::string target;
        base::time_point at {};
        std::vector<target_end> requests;
        bool answerBegun = false; ///< Of any of the requests.
    };
    struct suspect {
        bool sound = false; ///< Was answered shortly before the evidence.
        base::time_point clearedAt = base::time_point::min(); ///< Evidence up to then is refuted.
        /// By stage: when an answer last reached it, which refutes the evidence of lower stages up to then.
        std::array<base::time_point, wholeAnswerStage> reachedAt = neverReached();
        int mentions = 0; ///< At least the number of targets that ended under it since.
    };
    struct block_record {
        blocked_part block;
        base::time_point until {};
        bool byOperator = false;
        int trials = 0;
        base::time_point nextTrial {};
    };
    struct conviction {
        int count = 0;
        base::time_point probationUntil {};
    };
    /// A request at an ended target that had the part in question.
    struct mention {
        const end_record* end;
        const target_end* request;
    };
    struct accusation {
        const end_record* end;
        double weight;
    };
    using evidence_list = std::vector<accusation>; ///< Oldest first.
    using evidence_index = std::unordered_map<std::string_view, evidence_list>; ///< By part.
    /// A part with enough evidence for a block.
    struct accused_part {
        std::string part;
        evidence_list evidence;
        double weight = 0;
        double required = 0;
    };

    static constexpr std::array<base::time_point, wholeAnswerStage> neverReached()
    {
        std::array<base::time_point, wholeAnswerStage> times;
        times.fill(base::time_point::min());
        return times;
    }
    static bool contains(std::span<const std::string> parts, std::string_view part);
    static int rankOf(const target_end& request);
    void addRequest(end_record& end, const target_end& request);
    void limitNames();
    /// Returns the weight of \a item against a part; 0 if it is no evidence, or refuted.
    double weightOf(const mention& item, const suspect& against) const;
    static bool isRefuted(const mention& item, const suspect& against);
    const suspect& suspectOf(std::string_view part) const;
    evidence_list evidenceOf(std::string_view part, std::span<const mention> mentions) const;
    evidence_index indexEvidence() const;
    evidence_list evidenceAgainst(std::string_view part) const;
    std::vector<accused_part> accusedParts(const evidence_index& index) const;
    double weightOf(std::string_view part, const evidence_list& evidence) const;
    double requiredWeight(std::string_view part, const evidence_list& evidence) const;
    std::size_t recentEnds() const;
    std::vector<std::string> commonParts(std::string_view part, const evidence_list& evidence) const;
    bool wasAnswered(std::string_view part) const;
    void rememberAnswer(std::string_view part);
    bool isRefuted(const blocked_part& block) const;
    void addEvidence(const blocked_part& block);
    void clear(std::string_view part, std::string_view reason);
    /// Refutes the evidence of stages below \a stage. Returns true if there was any.
    bool refute(std::string_view part, int stage);
    void recompute();
    blocked_part blockFor(std::string_view part, const evidence_list& evidence) const;
    void addBlock(const blocked_part& block, bool byOperator);
    void removeBlock(std::string_view part, std::string_view reason);
    void retainSuspects();

    const base::clock& m_clock;
    observer m_calls;
    options m_options;
    std::vector<end_record> m_ends; ///< Oldest first.
    base::time_point m_trialsFrom {};
    std::map<std::string, suspect, std::less<>> m_suspects; ///< Parts with evidence against them.
    std::map<std::string, block_record, std::less<>> m_blocks;
    std::map<std::string, conviction, std::less<>> m_convictions;
    std::unordered_map<std::uint64_t, base::time_point> m_answered; ///< By hash of the part.
};

} // namespace marigold::relay
