#pragma once

#include "member.h"
#include "membership_message.h"

#include <map>
#include <optional>

namespace marigold::control {

/// What a table knows of one member, beside what is sent.
struct tracked_member {
    member info;
    base::time_point suspectUntil {}; ///< End of the suspicion timeout; meaningful while suspect.
    base::time_point removedAt {}; ///< Meaningful while dead.
    base::time_point requestSucceededAt {}; ///< Last success of a request; zero for none.
    int requestFailures = 0; ///< Failed requests since the last success.
    std::uint64_t change
        = 0; ///< Number of the last change of state, ramp or weights, which all digests carry.
    std::uint64_t loadChange = 0; ///< Number of the last change of load, which digests in the region carry.
};

/// How a record changed the table.
enum class table_change {
    None, ///< Nothing new.
    Minor, ///< Load or configuration version.
    Load, ///< A newer load that its member wants spread.
    State, ///< A new member, incarnation or state.
};

/// Table of all members, with the rule by which one record overrides another.
///
/// A higher incarnation always wins; within one incarnation, the later state of `member_state` does. Dead
/// members stay as tombstones, so that a paused process cannot come back under its old incarnation.
class member_table {
public:
    member_table() = default;
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    using map = std::map<std::string, tracked_member, std::less<>>;

    /// Merges \a record. \a direct: it comes from the member itself, so that its load is the newest.
    table_change merge(const member& record, bool direct, base::time_point now);

    /// Sets the state of \a id under its present incarnation, whatever the order of states.
    table_change setState(const std::string& id, member_state state, base::time_point now);

    tracked_member* find(std::string_view id);
    const tracked_member* find(std::string_view id) const;
    const map& all() const { return m_members; }

    /// Drops the tombstones of members that were removed before \a before.
    void forgetRemoved(base::time_point before);

    /// Number of the last change.
    std::uint64_t lastChange() const { return m_change; }

    /// Names of the domains that have members.
    std::vector<std::string> domains() const;

    /// Hash over the members of \a domain: ids, incarnations, and whether they left or were removed.
    std::uint64_t hashOf(std::string_view domain) const;

    /// All members of \a domain, removed ones included.
    std::vector<const tracked_member*> membersOf(std::string_view domain) const;

    /// Number of the members that `liveIn` returns.
    std::size_t countLive(std::string_view domain) const;

    /// Members of \a domain that take part in its work: neither removed nor leaving.
    std::vector<const tracked_member*> liveIn(std::string_view domain) const;

    /// The two lowest live members of \a domain by rendezvous hash, lowest first.
    std::vector<std::string> delegatesOf(std::string_view domain) const;

private:
    const std::vector<tracked_member*>& in(std::string_view domain) const;

    map m_members;
    std::map<std::string, std::vector<tracked_member*>, std::less<>> m_byDomain; ///< Nodes of `m_members`.
    std::uint64_t m_change = 0;
};

} // namespace marigold::control
