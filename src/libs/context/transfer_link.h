#pragma once

#include <base/base.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marigold::context {

enum class transfer_priority : std::uint8_t {
    Interactive,
    Normal,
    Batch,
    Background, ///< Moves between tiers; limited to a share of the bandwidth.
};

/// Returns the lower-case name of \a priority.
std::string_view nameOf(transfer_priority priority);

/// Identifies a transfer. Transfers are served in the order of their ids.
struct transfer_id {
    transfer_priority priority = transfer_priority::Normal;
    std::uint64_t sequence = 0;

    auto operator<=>(const transfer_id&) const = default;
};

struct transfer_request {
    transfer_priority priority = transfer_priority::Normal;
    std::uint64_t bytes = 0;
    /// Time to recompute the context if started now; empty if not possible.
    std::optional<base::duration> recomputeTime = {};
};

/// A chunk of a transfer to be sent now.
struct transfer_chunk {
    transfer_id id;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
};

/// Schedules transfers on a link of limited bandwidth. Transfers are sent in chunks, one at a time, so that a
/// transfer of higher priority waits for at most one chunk. Transfers of equal priority are served in order
/// of arrival. The caller sends the chunks and reports their completion, from which the rate is estimated.
class transfer_link {
public:
    struct options {
        const base::clock& time;
        double initialBytesPerSecond = 1e9;
        std::uint64_t chunkBytes = 4 << 20;
        /// Busy time after which the weight of an observation is halved.
        base::duration rateHalfLife = std::chrono::seconds(5);
        double backgroundShare = 0.2; ///< Fraction of the estimated rate.
        base::duration backgroundBurst = std::chrono::seconds(1); ///< Limit of the accumulated unused share.
        /// A transfer is cancelled if it takes longer than recomputing times this.
        double recomputeMargin = 1.1;
        std::size_t maximumTransfers = 1024;
        const base::event_log* log = nullptr;
    };

    explicit transfer_link(options opts);

    /// Queues a transfer. \return `Overloaded` if the queue is full, `InvalidRequest` if it has no bytes
    base::result<transfer_id> submit(const transfer_request& request);

    /// Returns the chunk to send now; empty while a chunk is being sent or if no transfer may be sent.
    std::optional<transfer_chunk> nextChunk();

    /// Returns the time until background transfers have budget, if only these are queued; empty if
    /// `nextChunk` does not depend on time.
    std::optional<base::duration> backgroundWait() const;

    /// Reports that the chunk being sent has arrived. \return whether its transfer is complete
    bool chunkDone();

    /// Reports that sending the chunk failed or was aborted. Removes its transfer.
    void chunkFailed();

    /// Cancels a queued or running transfer. A chunk that is being sent occupies the link until its
    /// completion or failure is reported. \return whether the transfer existed
    bool cancel(const transfer_id& id);

    /// Cancels all transfers that are expected to take longer than `recomputeMargin` times their
    /// recomputation, and returns them in order of service. Transfers without `recompute` stay. To be called
    /// when a chunk is done and by a timer, since a stalled chunk is never done.
    std::vector<transfer_id> cancelLate();

    /// Returns the expected time until a new transfer would be complete, provided that no other transfer is
    /// submitted before then.
    base::duration estimate(transfer_priority priority, std::uint64_t bytes) const;

    /// Returns the expected time until transfer \a id is complete; empty if it does not exist.
    std::optional<base::duration> remaining(const transfer_id& id) const;

    /// The estimated rate. Includes the delay of a chunk that is overdue.
    double bytesPerSecond() const;

    std::size_t transfers() const { return m_transfers.size(); }

private:
    struct transfer {
        std::uint64_t bytes = 0;
        std::uint64_t sent = 0; ///< Includes the chunk being sent.
        std::optional<base::duration> recomputeTime;
    };

    struct sent_chunk {
        transfer_chunk chunk;
        base::time_point start;
    };

    /// Bytes that are served before a given transfer.
    struct backlog {
        double all = 0;
        double background = 0;

        void add(const transfer_id& id, double bytes);
    };

    base::duration elapsed() const;
    double outstandingSeconds() const;
    base::duration timeFor(transfer_priority priority, const backlog& ahead, double bytes) const;
    double backgroundBudget() const;

    options m_options;
    std::map<transfer_id, transfer> m_transfers;
    std::optional<sent_chunk> m_sending;
    std::uint64_t m_lastSequence = 0;
    double m_observedBytes; ///< Exponentially decayed sum, like m_observedSeconds.
    double m_observedSeconds;
    double m_backgroundBytes = 0; ///< Budget at m_budgetTime; may be negative after a chunk.
    base::time_point m_budgetTime;
};

} // namespace marigold::context
