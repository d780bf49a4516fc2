#include "access_control.h"

#include "events.h"

#include <array>

namespace marigold::operate {

namespace {

constexpr std::array<std::string_view, 3> rightNames { "read", "change", "dangerous" };

} // namespace

std::string_view nameOf(operator_right right)
{
    return rightNames.at(static_cast<std::size_t>(right));
}

std::optional<operator_right> operatorRightFromString(std::string_view text)
{
    for (std::size_t i = 0; i < rightNames.size(); ++i)
        if (rightNames[i] == text)
            return static_cast<operator_right>(i);
    return {};
}

access_control::access_control(
    const base::clock& time, const base::event_log* log, const random_bytes& random)
    : m_clock(time)
    , m_teamRefusals(log, events::teamKeyRefused, time)
    , m_operatorRefusals(log, events::operatorKeyRefused, time)
{
    // The record of a random key that is never issued.
    m_dummyRecord = issueKey(key_kind::Team, "decoy", random)->record;
}

void access_control::setTeam(std::string team, std::vector<key_record> records)
{
    m_teams[std::move(team)] = { .records = std::move(records) };
}

void access_control::setOperator(std::string name, operator_right right, std::vector<key_record> records)
{
    m_operators[std::move(name)] = { .records = std::move(records), .right = right };
}

const access_control::holder_table::value_type* access_control::find(
    const holder_table& table, key_kind kind, std::string_view header, std::string& detail)
{
    const auto key = parseKey(bearerKey(header));
    if (!key || key->kind != kind) {
        detail = "no well-formed key";
        return nullptr;
    }
    const auto found = table.find(std::string(key->name));
    const base::wall_time now = m_clock.wallNow();
    bool isValid = false;
    for (std::size_t i = 0; i < recordsPerHolder; ++i) {
        const bool hasRecord = found != table.end() && i < found->second.records.size();
        const key_record& record = hasRecord ? found->second.records[i] : m_dummyRecord;
        const bool isCurrent = hasRecord && (!record.expires || now < *record.expires);
        const base::digest256 hash = hashSecret(record.salt, key->secret);
        ++m_hashCount;
        const bool isEqual = base::equalConstantTime(hash, record.hash);
        isValid = isValid | (isEqual & isCurrent);
    }
    if (!isValid) {
        detail = "wrong key for " + std::string(key->name);
        return nullptr;
    }
    return &*found;
}

base::result<std::string> access_control::team(std::string_view header)
{
    std::string detail;
    const auto* found = find(m_teams, key_kind::Team, header, detail);
    if (found)
        return found->first;
    m_teamRefusals.add(detail);
    return base::notRun(base::error_reason::Unauthorized, "no valid team key", "Authorization");
}

base::result<operator_identity> access_control::requireOperator(std::string_view header, operator_right right)
{
    std::string detail;
    const auto* found = find(m_operators, key_kind::Operator, header, detail);
    if (!found) {
        m_operatorRefusals.add(detail);
        return base::notRun(base::error_reason::Unauthorized, "no valid operator key", "Authorization");
    }
    const auto& [name, holder] = *found;
    if (holder.right < right) {
        m_operatorRefusals.add(name + " lacks the right " + std::string(nameOf(right)));
        return base::notRun(base::error_reason::Forbidden,
            "operator " + name + " lacks the right \"" + std::string(nameOf(right)) + "\"", "Authorization");
    }
    return operator_identity { .name = name, .right = holder.right };
}

} // namespace marigold::operate
