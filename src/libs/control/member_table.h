#pragma once

#include "member.h"
#include "membership_message.h"

#include <map>
#include <optional>

namespace marigold::control {

/// A member record with local state that is not sent.
struct tracked_member {
    member info;
    base::time_point suspectUntil {}; ///< End of the suspicion timeout; meaningful while suspect.
    base::time_point removedAt {}; ///< Meaningful while dead.
    base::time_point requestSucceededAt {}; ///< Last successful request; zero if there was none.
    int requestFailures = 0; ///< Failed requests since the last success.
    /// Number of the last change of state, ramp or weights, which all digests carry.
    std::uint64_t change = 0;
    std::uint64_t loadChange = 0; ///< Number of the last change of load, which digests in the region carry.
};

/// Effect of a record on the table.
enum class table_change {
    None, ///< No change.
    Minor, ///< Load or configuration version.
    Load, ///< A newer load that the member has announced.
    State, ///< A new member, incarnation or state.
};

/// Table of all members; defines which of two records overrides the other.
///
/// A higher incarnation always wins; within one incarnation, the later state of `member_state` wins. Dead
/// members are kept as tombstones, so that a paused process cannot return with its old incarnation.
class member_table {
public:
    member_table() = default;
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    using map = std::map<std::string, tracked_member, std::less<>>;

    /// Merges \a record. If \a direct is set, it was sent by the member itself, so that its load is the
    /// newest.
    table_change merge(const member& record, bool direct, base::time_point now);

    /// Sets the state of \a id in its current incarnation, regardless of the order of states.
    table_change setState(const std::string& id, member_state state, base::time_point now);

    tracked_member* find(std::string_view id);
    const tracked_member* find(std::string_view id) const;
    const map& all() const { return m_members; }

    /// Deletes the tombstones of members that were removed before \a before.
    void expireTombstones(base::time_point before);

    /// Returns the number of the last change.
    std::uint64_t lastChange() const { return m_change; }

    /// Returns the names of the domains that have members.
    std::vector<std::string> domains() const;

    /// Returns a hash over the members of \a domain: ids, incarnations, and whether they left or were
    /// removed.
    std::uint64_t hashOf(std::string_view domain) const;

    /// Returns all members of \a domain, including removed ones.
    std::vector<const tracked_member*> membersOf(std::string_view domain) const;

    /// Returns the number of members that `liveMembersOf` returns.
    std::size_t countLive(std::string_view domain) const;

    /// Returns the members of \a domain that are neither removed nor leaving; suspect and unreachable ones
    /// are included.
    std::vector<const tracked_member*> liveMembersOf(std::string_view domain) const;

    /// Returns the two alive members of \a domain with the lowest rendezvous scores, lowest first.
    std::vector<std::string> delegatesOf(std::string_view domain) const;

private:
    const std::vector<tracked_member*>& trackedIn(std::string_view domain) const;

    map m_members;
    std::map<std::string, std::vector<tracked_member*>, std::less<>>
        m_byDomain; ///< Pointers into `m_members`.
    std::uint64_t m_change = 0;
};

} // namespace marigold::control
