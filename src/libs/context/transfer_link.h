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
    Background, ///< Moves between tiers; limited to a share of the link.
};

/// Returns the lower-case name of \a priority.
std::string_view nameOf(transfer_priority priority);

/// Identifies a transfer; the order of ids is the order of service.
struct transfer_id {
    transfer_priority priority = transfer_priority::Normal;
    std::uint64_t sequence = 0;

    auto operator<=>(const transfer_id&) const = default;
};

struct transfer_request {
    transfer_priority priority = transfer_priority::Normal;
    std::uint64_t bytes = 0;
    std::optional<base::duration> recompute = {}; ///< How long recomputing would take if started now.
};

/// A part of a transfer that is to be sent now.
struct transfer_piece {
    transfer_id id;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
};

/// Shares a link of limited bandwidth. Transfers are sent in pieces, one at a time, so that a transfer of
/// higher priority waits for one piece at most. Transfers of equal priority are served in order of arrival.
/// The caller sends the pieces and reports when they are done; the link learns its rate from that.
class transfer_link {
public:
    struct options {
        const base::clock& time;
        double initialBytesPerSecond = 1e9;
        std::uint64_t pieceBytes = 4 << 20;
        base::duration rateHalfLife
            = std::chrono::seconds(5); ///< Busy time until an observation counts half.
        double backgroundShare = 0.2; ///< Of the learned rate.
        base::duration backgroundBurst = std::chrono::seconds(1); ///< Unused share that is kept at most.
        double recomputeMargin = 1.1; ///< A late transfer is cancelled only if it takes this much longer.
        std::size_t maximumTransfers = 1024;
        const base::event_log* log = nullptr;
    };

    explicit transfer_link(options opts);

    /// Queues a transfer. \return `Overloaded` when the queue is full, `InvalidRequest` for no bytes
    base::result<transfer_id> submit(const transfer_request& request);

    /// Returns the piece to send now; empty while one is being sent, and when nothing may be sent.
    std::optional<transfer_piece> nextPiece();

    /// Returns how long background transfers must wait for their budget if they alone are queued; empty if
    /// `nextPiece` does not depend on time.
    std::optional<base::duration> backgroundWait() const;

    /// Reports that the piece being sent has arrived. \return whether its transfer is complete
    bool pieceDone();

    /// Reports that the piece being sent was lost or stopped; its transfer ends.
    void pieceFailed();

    /// Ends a queued or running transfer. A piece that is being sent keeps the link busy until it is
    /// reported. \return whether the transfer was there
    bool cancel(const transfer_id& id);

    /// Ends every transfer that recomputation would now overtake, in order of service, and returns them. To
    /// be called when a piece is done and by a timer, since a stalled piece is never done.
    std::vector<transfer_id> cancelLate();

    /// Returns the expected time until a new transfer would be complete if no other arrives before that.
    base::duration estimate(transfer_priority priority, std::uint64_t bytes) const;

    /// Returns the expected time until transfer \a id is complete; empty when it is not there.
    std::optional<base::duration> remaining(const transfer_id& id) const;

    /// The learned rate. While a piece is overdue, its delay counts already.
    double bytesPerSecond() const;

    std::size_t transfers() const { return m_transfers.size(); }

private:
    struct transfer {
        std::uint64_t bytes = 0;
        std::uint64_t sent = 0; ///< Includes the piece being sent.
        std::optional<base::duration> recompute;
    };

    struct sent_piece {
        transfer_piece piece;
        base::time_point start;
    };

    /// Bytes that are served before a transfer.
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
    std::optional<sent_piece> m_sending;
    std::uint64_t m_lastSequence = 0;
    double m_observedBytes; ///< Decayed sums.
    double m_observedSeconds;
    double m_backgroundBytes = 0; ///< Budget at m_budgetTime; negative after a piece.
    base::time_point m_budgetTime;
};

} // namespace marigold::context
