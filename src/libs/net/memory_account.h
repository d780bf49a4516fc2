#pragma once

#include <base/base.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace marigold::net {

/// What a connection makes the process hold.
enum class held_kind {
    Connections, ///< Objects and buffers of a connection without content.
    Heads,
    Bodies, ///< Including the part of a body of known length that has not been received yet.
    Answers, ///< Bytes that the client has not taken yet.
    Requests, ///< Objects and heads for the request at its target.
};

inline constexpr std::size_t heldKinds = 5;

/// Returns the snake-case name of \a kind.
std::string_view nameOf(held_kind kind);

/// Accounts for the memory that a process holds for its connections, with a budget.
///
/// A connection that holds little may use the whole budget; one that holds more may use a part of it only, so
/// that large requests leave memory for ordinary ones. Connections that do not progress are closed only while
/// memory is short, those with the most bytes for the longest time first.
class memory_account {
public:
    struct options {
        std::size_t budget = std::size_t { 1 } << 50; ///< Bytes.
        std::size_t smallBytes = 64 << 10; ///< A connection that holds no more may use the whole budget.
        double largeShare = 0.75; ///< Share of the budget for connections that hold more.
        double pressureShare = 0.7; ///< Share of the budget above which connections are closed.
        /// Time without progress after which a connection may be closed.
        base::duration stallTime = std::chrono::milliseconds(500);
    };

    /// The part of the account that one connection uses. Ends with the connection.
    class holder {
    public:
        /// \a evict releases what the connection holds; it returns false if that is not possible now.
        holder(memory_account& account, std::function<bool()> evict);
        ~holder();
        holder(const holder&) = delete;
        holder& operator=(const holder&) = delete;

        /// Sets the bytes that are held already.
        void set(held_kind kind, std::size_t bytes);

        /// Sets the bytes if the budget allows it. Returns false and changes nothing otherwise.
        bool trySet(held_kind kind, std::size_t bytes);

        /// Records that the client has sent or taken \a bytes. Only an amount that is worth mentioning
        /// against the bytes held counts as progress, so that single bytes do not keep a large request alive.
        void progressed(std::size_t bytes);

        /// Records progress, for example since the process itself paused the connection.
        void restart();

        std::size_t held() const { return m_held; }
        std::size_t held(held_kind kind) const { return m_bytes[static_cast<std::size_t>(kind)]; }
        base::time_point lastProgress() const { return m_lastProgress; }

    private:
        friend class memory_account;

        memory_account& m_account;
        std::function<bool()> m_evict;
        std::array<std::size_t, heldKinds> m_bytes {};
        std::size_t m_held = 0;
        std::size_t m_moved = 0; ///< Since the last progress.
        base::time_point m_lastProgress;
    };

    memory_account(const base::clock& time, options opts);

    std::size_t held() const { return m_held; }
    std::size_t held(held_kind kind) const { return m_bytes[static_cast<std::size_t>(kind)]; }
    base::time_point now() const { return m_clock.now(); }
    const options& limits() const { return m_options; }

    /// Returns the most bytes that one connection can be allowed to hold.
    std::size_t largestConnection() const { return share(m_options.largeShare); }

    /// Returns whether a new connection could hold what an ordinary request needs.
    bool canServe() const { return m_held + m_options.smallBytes <= m_options.budget; }

    /// Returns the unread bytes of an answer above which its source is paused: \a usual, or less if memory is
    /// short.
    std::size_t answerLimit(std::size_t usual) const;

    /// Closes connections without progress while memory is short. To be called periodically.
    /// \return number of connections closed
    std::size_t relieve();

private:
    std::size_t share(double part) const;
    bool allows(const holder& who, std::size_t more);

    const base::clock& m_clock;
    options m_options;
    std::array<std::size_t, heldKinds> m_bytes {};
    std::size_t m_held = 0;
    std::size_t m_denied = 0; ///< Largest growth that was not allowed since the last call of `relieve`.
    std::unordered_set<holder*> m_holders;
};

} // namespace marigold::net
