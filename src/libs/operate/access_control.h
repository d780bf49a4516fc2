#pragma once

#include "access_key.h"
#include "refusal_log.h"

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::operate {

/// Rights of an operator; each right includes the preceding ones.
enum class operator_right {
    Read, ///< Read status, configuration and explanations.
    Change, ///< Change the configuration.
    Dangerous, ///< Take failure domains out, roll back, manage teams and keys.
};

/// Returns the wire name of \a right: `read`, `change` or `dangerous`.
std::string_view nameOf(operator_right right);

/// Parses a wire name; empty for any other text.
std::optional<operator_right> operatorRightFromString(std::string_view text);

/// An operator who presented a valid key.
struct operator_identity {
    std::string name;
    operator_right right = operator_right::Read;
};

/// Checks the keys of teams and operators.
///
/// Checking a well-formed key takes `recordsPerHolder` hash computations and constant-time comparisons,
/// whether or not its holder exists, so that the duration of a refusal does not reveal which teams exist.
class access_control {
public:
    explicit access_control(const base::clock& time, const base::event_log* log = nullptr,
        const random_bytes& random = systemRandomBytes);

    /// Sets the keys of \a team; only the first `recordsPerHolder` records are used.
    void setTeam(std::string team, std::vector<key_record> records);
    void removeTeam(const std::string& team) { m_teams.erase(team); }

    /// Sets the keys and the right of the operator \a name.
    void setOperator(std::string name, operator_right right, std::vector<key_record> records);
    void removeOperator(const std::string& name) { m_operators.erase(name); }

    /// Returns the team whose key is in the `Authorization` header \a header, or `Unauthorized`.
    base::result<std::string> team(std::string_view header);

    /// Returns the operator whose key is in \a header; `Unauthorized` without a valid key, `Forbidden` if the
    /// operator lacks \a right.
    base::result<operator_identity> requireOperator(std::string_view header, operator_right right);

    /// Returns the number of hash computations since the start.
    std::uint64_t hashCount() const { return m_hashCount; }

    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct holder {
        std::vector<key_record> records;
        operator_right right = operator_right::Read;
    };

    using holder_table = std::unordered_map<std::string, holder>;

    /// Returns the holder in \a table whose key is in \a header, or null.
    const holder_table::value_type* find(
        const holder_table& table, key_kind kind, std::string_view header, std::string& detail);

    const base::clock& m_clock;
    holder_table m_teams;
    holder_table m_operators;
    key_record m_dummyRecord; ///< Compared if a holder has no record; matches no known secret.
    refusal_log m_teamRefusals;
    refusal_log m_operatorRefusals;
    std::uint64_t m_hashCount = 0;
};

} // namespace marigold::operate
