#pragma once

#include <base/digest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Divides the processes and the targets of a large fleet into groups, so that a target gets requests from
/// few processes: its rate limit and its connections are divided by the size of a group instead of the size
/// of the fleet, and the few processes can tell each other their load often.
///
/// Groups are computed from the registered processes by rendezvous hashing; nothing is agreed upon. Each
/// process belongs to two groups, which lets load move between groups (two choices balance nearly as well as
/// many, Mitzenmacher 2001). With few processes there is one group of all.
class sender_groups {
public:
    struct options {
        std::string process = {};
        /// Smallest average number of processes that share a target; the largest is twice as many.
        std::size_t minProcesses = 8;
        /// Smallest average number of targets of a service in a group.
        std::size_t minTargets = 4;
    };

    explicit sender_groups(options opts);

    /// Sets the registered processes by id. This process is counted whether it is among them or not.
    void setProcesses(std::span<const std::string_view> processes);

    /// Returns the number of processes including this one.
    std::size_t processes() const { return m_members.size(); }

    /// Returns the number of groups for a service with \a targets targets, a power of two.
    std::size_t groupCount(std::size_t targets) const;

    /// Returns the group of a target among \a groups; \a targetHash is the hash of its id.
    static std::size_t groupOf(std::uint64_t targetHash, std::size_t groups);

    /// Returns whether this process belongs to \a group of \a groups.
    bool isMember(std::size_t group, std::size_t groups) const;

    /// Returns whether \a process belongs to \a group of \a groups; false if it is not registered.
    bool isMember(std::string_view process, std::size_t group, std::size_t groups) const;

    /// Returns whether \a process and this process have a group in common.
    bool sharesGroupWith(std::string_view process) const;

    /// Returns the number of processes in \a group of \a groups, including this one.
    std::size_t memberCount(std::size_t group, std::size_t groups) const;

    /// Returns how many members of \a group of \a groups precede this process in the order for \a key.
    std::size_t rankOf(std::uint64_t key, std::size_t group, std::size_t groups) const;

private:
    static constexpr std::size_t groupsPerProcess = 2;
    using membership = std::array<std::size_t, groupsPerProcess>;

    static bool contains(const membership& member, std::size_t group, std::size_t groups);
    membership choose(std::uint64_t processHash) const;
    void listMembers();

    options m_options;
    std::size_t m_groups = 1; ///< A power of two.
    std::map<std::string, membership, std::less<>> m_members; ///< By process.
    /// Hashes of the processes by number of groups and group; one list for each number that `groupCount` may
    /// return.
    std::map<std::size_t, std::vector<std::vector<std::uint64_t>>> m_lists;
};

} // namespace marigold::relay
