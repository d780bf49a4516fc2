#pragma once

#include <base/base.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Decides how long a watch of the platform's store may wait, and when the store is polled beside it.
///
/// A watch may stop delivering changes without an error. Each process therefore bounds the time for which it
/// trusts its state, from the last moment as of which it knows that it lacks no change that must not wait,
/// and polls the store when that time has passed.
///
/// The load that this causes: each call is billed, and all processes of a large fleet would poll every two
/// seconds although nothing has changed. A few sentinels, computed from the registered processes by
/// rendezvous hashing, watch with short waits and tell the others in their digests which revision of the
/// store they have read, when, and which one was the last that must not wait. A report only ever prolongs the
/// trust of a process that has read that far, or makes it poll sooner; a lost or late one costs a call.
///
/// Revisions are compared as positions (`platform::positionOf`): a report of a higher era of the store is
/// ahead of all earlier ones, and one of a lower era says nothing.
class watch_schedule {
public:
    struct options {
        std::string process;
        /// Longest wait of a watch that nobody else can verify.
        base::duration shortWait = std::chrono::milliseconds(1300);
        /// The same for a sentinel, whose reports take some time to reach the others.
        base::duration sentinelWait = std::chrono::milliseconds(500);
        base::duration longWait = std::chrono::seconds(10);
        /// Time between two watches, in which changes gather.
        base::duration shortInterval = std::chrono::milliseconds(300);
        base::duration longInterval = std::chrono::milliseconds(1500);
        std::size_t sentinels = 3;
        /// With fewer processes, each watches for itself.
        std::size_t minProcesses = 8;
        /// Time for which a process trusts its state. A sentinel gets a reply sooner, at the end of each of
        /// its short waits.
        base::duration trustedFor = std::chrono::milliseconds(1100);
        /// Time for a change to arrive by the watch itself after a sentinel has reported it. It doubles with
        /// each poll without a reply.
        base::duration renewalDelay = std::chrono::milliseconds(150);
    };

    watch_schedule(const base::clock& time, options opts);

    /// Sets the ids of the registered processes.
    void setProcesses(std::span<const std::string_view> processes);

    /// Records that a reply of the store to this process reaches up to \a position and states what it had at
    /// \a asOf.
    void replyReceived(std::uint64_t position, base::time_point asOf);
    void replyReceived(std::uint64_t position) { replyReceived(position, m_clock.now()); }

    /// Records that this process has read a change that must not wait, up to the position of the last reply.
    void urgentChangeRead() { m_urgentPosition = m_position; }

    /// Forgets the positions that this process and the others have read, since the store may lack them.
    void discardPositions();

    /// What a process tells the others.
    struct report {
        std::uint64_t position = 0;
        std::uint64_t urgentPosition = 0; ///< Changes up to this one must not wait.
        base::duration replyAge { 0 }; ///< Time since the store has replied.
    };

    /// Returns the report of this process; the position is 0 before the first reply of the present state.
    report own() const;

    void reportReceived(std::string_view process, const report& received);

    /// Returns how long a watch that begins now may wait.
    base::duration waitLimit() const;

    /// Returns how long the next watch is delayed after a reply.
    base::duration interval() const;

    /// Why a process must read changes now.
    enum class read_reason {
        None, ///< It need not.
        Reported, ///< A sentinel knows of a change that this process lacks.
        Unconfirmed, ///< The state has been trusted for as long as it may be.
    };

    /// The reads of a process that have had no reply.
    struct pending_reads {
        base::time_point watchBegan {};
        base::duration watchWait { 0 }; ///< Zero if no watch waits.
        base::time_point lastBegan {}; ///< Of the latest one.
        int polls = 0; ///< Beside the watch.
    };

    /// Returns whether and why this process must read changes now, although its watch has not ended, or its
    /// next one is not due.
    read_reason mustRead(const pending_reads& pending) const;

    /// Returns since when a sentinel has reported a change that must not wait and that this process lacks.
    std::optional<base::time_point> urgentSince() const;

    /// Returns the ids of the sentinels, in alphabetical order.
    std::vector<std::string_view> sentinels() const;
    bool isSentinel() const { return m_isSentinel; }

private:
    struct sentinel_report {
        report last;
        base::time_point receivedAt {};
        /// When it first reported a position that this process lacked, and one that must not wait.
        base::time_point aheadSince {};
        base::time_point urgentSince {};
    };

    /// Returns whether \a known is of the era that this process has read, or of a later one.
    bool isOfPresentEra(const sentinel_report& known) const;
    /// Returns whether a sentinel has read the store recently enough to wait for its reports.
    bool isCovered() const;
    /// Returns the last moment as of which this process lacks no change that must not wait.
    base::time_point confirmedAt() const;
    bool isReported(base::time_point now) const;
    void updateAhead(sentinel_report& known) const;

    const base::clock& m_clock;
    options m_options;
    bool m_isSentinel = false;
    std::uint64_t m_position = 0;
    std::uint64_t m_urgentPosition = 0;
    base::time_point m_repliedAt {};
    std::map<std::string, sentinel_report, std::less<>> m_reports; ///< By sentinel.
};

/// Returns the snake-case name of \a reason.
std::string_view nameOf(watch_schedule::read_reason reason);

/// Encodes \a item for a digest.
std::string encode(const watch_schedule::report& item);

/// Decodes the output of `encode`; returns `InvalidRequest` for any other bytes.
base::result<watch_schedule::report> decodeWatchReport(std::string_view bytes);

} // namespace marigold::relay
