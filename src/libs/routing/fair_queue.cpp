#include "fair_queue.h"

#include <algorithm>
#include <utility>

namespace marigold::routing {

namespace {

constexpr double minWeight = 1e-3; // prevents starvation of a team with weight zero
constexpr std::chrono::milliseconds retryDelayWhenFull { 1'000 };

base::error refusal(base::error_reason reason, const char* message)
{
    return { .verdict = base::verdict::NotRun,
        .reason = reason,
        .message = message,
        .retryAfter = retryDelayWhenFull };
}

} // namespace

fair_queue::fair_queue(options opts)
    : m_options(std::move(opts))
{
}

fair_queue::team_index fair_queue::indexOf(std::string_view team)
{
    const auto found = m_byName.find(team);
    if (found != m_byName.end())
        return found->second;
    const auto index = static_cast<team_index>(m_teams.size());
    m_byName.emplace(team, index);
    m_teams.emplace_back();
    return index;
}

void fair_queue::setWeight(std::string_view team, double weight)
{
    m_teams[indexOf(team)].weight = std::max(weight, minWeight);
}

void fair_queue::charge(std::string_view team, double cost)
{
    team_record& record = m_teams[indexOf(team)];
    record.finish = earliestStart(record) + cost / record.weight;
}

double fair_queue::earliestStart(const team_record& team) const
{
    // A team that was idle may use a limited part of its unused share.
    return std::max(m_virtualTime - m_options.burst / team.weight, team.finish);
}

fair_queue::team_index fair_queue::teamServedLast() const
{
    const auto endOf = [&](const auto& entry) {
        return entry.first + m_teams[entry.second].waitingCost / m_teams[entry.second].weight;
    };
    return std::ranges::max_element(m_active, [&](const auto& a, const auto& b) {
        return endOf(a) < endOf(b);
    })->second;
}

base::result<void> fair_queue::push(std::string_view team, const queued_request& item)
{
    const team_index index = indexOf(team);
    if (m_teams[index].waiting.size() >= m_options.teamCapacity)
        return tl::unexpected(
            refusal(base::error_reason::Overloaded, "too many waiting requests of this team"));
    if (m_size >= m_options.capacity && !shedLastServed(index, item.cost))
        return tl::unexpected(refusal(base::error_reason::Overloaded, "the queue of this entry is full"));
    team_record& record = m_teams[index];
    record.waiting.push_back(item);
    record.waitingCost += item.cost;
    ++m_size;
    if (record.waiting.size() == 1) {
        record.start = earliestStart(record);
        m_active.emplace(record.start, index);
    }
    return {};
}

bool fair_queue::shedLastServed(team_index index, double cost)
{
    if (m_active.empty())
        return false;
    const team_record& team = m_teams[index];
    const double start = team.waiting.empty() ? earliestStart(team) : team.start;
    const team_index last = teamServedLast();
    const team_record& other = m_teams[last];
    if (start + (team.waitingCost + cost) / team.weight >= other.start + other.waitingCost / other.weight)
        return false;
    shedNewest(last);
    return true;
}

void fair_queue::shedNewest(team_index index)
{
    team_record& team = m_teams[index];
    const queued_request shedRequest = team.waiting.back();
    team.waiting.pop_back();
    team.waitingCost -= shedRequest.cost;
    --m_size;
    if (team.waiting.empty())
        m_active.erase({ team.start, index });
    if (m_options.refuse)
        m_options.refuse(shedRequest.id,
            refusal(
                base::error_reason::Overloaded, "the queue is full and this request would be served last"));
}

std::optional<queued_request> fair_queue::pop(base::time_point now, pop_scope scope)
{
    const auto mayServe = [&](const auto& entry) {
        return scope == pop_scope::AnyTeam || m_teams[entry.second].waitingCost <= m_options.burst;
    };
    while (true) {
        const auto first = std::ranges::find_if(m_active, mayServe);
        if (first == m_active.end())
            return std::nullopt;
        const auto [start, index] = *first;
        team_record& team = m_teams[index];
        const queued_request item = team.waiting.front();
        team.waiting.pop_front();
        team.waitingCost -= item.cost;
        --m_size;
        m_active.erase(first);
        const bool expired = item.deadline <= now;
        if (!expired) {
            m_virtualTime = std::max(m_virtualTime, start);
            team.finish = start + item.cost / team.weight;
        }
        if (!team.waiting.empty()) {
            team.start = expired ? start : team.finish;
            m_active.emplace(team.start, index);
        }
        if (!expired)
            return item;
        if (m_options.refuse)
            m_options.refuse(
                item.id, refusal(base::error_reason::DeadlineExceeded, "the deadline passed in the queue"));
    }
}

bool fair_queue::cancel(std::string_view team, request_id id)
{
    const auto found = m_byName.find(team);
    if (found == m_byName.end())
        return false;
    team_record& record = m_teams[found->second];
    const std::size_t removed = std::erase_if(record.waiting, [&](const queued_request& item) {
        if (item.id != id)
            return false;
        record.waitingCost -= item.cost;
        return true;
    });
    m_size -= removed;
    if (removed > 0 && record.waiting.empty())
        m_active.erase({ record.start, found->second });
    return removed > 0;
}

} // namespace marigold::routing
