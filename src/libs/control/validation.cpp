#include "validation.h"

#include "json_reader.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <fmt/format.h>

namespace marigold::control {

namespace {

using base::error_reason;

template <typename... Names> std::string pointer(const Names&... names)
{
    std::string out;
    ((out += '/' + detail::escapePointer(names)), ...);
    return out;
}

bool hasDomainInService(const config_content& content)
{
    return std::any_of(content.failureDomains.begin(), content.failureDomains.end(),
        [](const auto& entry) { return entry.second.inService; });
}

bool hasAdministrator(const config_content& content)
{
    return std::any_of(content.operators.begin(), content.operators.end(),
        [](const auto& entry) { return entry.second.mayChange; });
}

base::result<void> unknown(std::string_view what, const std::string& name, std::string field)
{
    return base::notRun(
        error_reason::InvalidRequest, fmt::format("unknown {} \"{}\"", what, name), std::move(field));
}

base::result<void> checkTarget(const config_content& content, const std::string& id, const target& value)
{
    if (!content.failureDomains.contains(value.failureDomain))
        return unknown("failure domain", value.failureDomain, pointer("targets", id, "failure_domain"));
    if (value.kind == target_kind::Engine && !content.models.contains(value.model))
        return unknown("model", value.model, pointer("targets", id, "model"));
    if (value.kind == target_kind::Service && !content.services.contains(value.service))
        return unknown("service", value.service, pointer("targets", id, "service"));
    return {};
}

/// Number of targets of a model that accept new work, and the total including drained ones.
struct capacity {
    std::size_t available = 0;
    std::size_t total = 0;
};

name_map<capacity> capacityOf(const config_content& content)
{
    name_map<capacity> out;
    for (const auto& [id, value] : content.targets) {
        const auto domain = content.failureDomains.find(value.failureDomain);
        if (value.kind != target_kind::Engine || domain == content.failureDomains.end()
            || !domain->second.inService)
            continue;
        ++out[value.model].total;
        out[value.model].available += content.isInService(value, id) ? 1 : 0;
    }
    return out;
}

/// Checks new drains against the capacity floor. Targets in a failure domain out of service do not count,
/// since operators must be able to take a domain out of service.
base::result<void> checkDrains(const config_content& before, const config_content& after)
{
    const auto capacities = capacityOf(after);
    for (const auto& [id, drained] : after.drainedTargets) {
        const auto previous = before.drainedTargets.find(id);
        const auto value = after.targets.find(id);
        if (!drained || (previous != before.drainedTargets.end() && previous->second)
            || value == after.targets.end())
            continue;
        const auto found = capacities.find(value->second.model);
        if (found == capacities.end())
            continue;
        if (static_cast<double>(found->second.available)
            < std::ceil(after.capacityFloor * static_cast<double>(found->second.total)))
            return base::notRun(error_reason::InvalidRequest,
                fmt::format("the drain leaves {} of {} targets of model \"{}\", below the capacity floor {}",
                    found->second.available, found->second.total, found->first, after.capacityFloor),
                pointer("drained_targets", id));
    }
    return {};
}

base::result<void> checkSwaps(const config_content& before, const config_content& after)
{
    const auto capacities = capacityOf(after);
    for (const auto& [name, value] : after.models) {
        const auto previous = before.models.find(name);
        const auto found = capacities.find(name);
        if (previous == before.models.end() || previous->second.wantedVersion == value.wantedVersion
            || value.wantedVersion == value.version || found == capacities.end())
            continue;
        const auto floor = std::ceil(after.capacityFloor * static_cast<double>(found->second.total));
        if (static_cast<double>(found->second.available) - 1 < floor)
            return base::notRun(error_reason::InvalidRequest,
                fmt::format("a rolling swap takes 1 of {} available targets, and the capacity floor is {}",
                    found->second.available, floor),
                pointer("models", name, "wanted_version"));
    }
    return {};
}

template <typename T>
base::result<void> checkRemoved(const name_map<T>& before, const name_map<T>& after,
    const config_content& content, std::string_view section, const std::string& (*servedName)(const target&))
{
    for (const auto& [id, value] : content.targets)
        if (const auto& name = servedName(value);
            !name.empty() && before.contains(name) && !after.contains(name))
            return base::notRun(error_reason::InvalidRequest,
                fmt::format("target \"{}\" still serves \"{}\"", id, name), pointer(section, name));
    return {};
}

} // namespace

base::result<void> checkReferences(const config_content& content)
{
    if (!content.failureDomains.empty() && !hasDomainInService(content))
        return base::notRun(
            error_reason::InvalidRequest, "no failure domain is in service", "/failure_domains");
    for (const auto& [name, value] : content.models)
        for (const auto& [adapterName, adapter] : value.adapters)
            if (!adapter.team.empty() && !content.teams.contains(adapter.team))
                return unknown(
                    "team", adapter.team, pointer("models", name, "adapters", adapterName, "team"));
    for (const auto& [name, value] : content.services)
        if (!value.model.empty() && !content.models.contains(value.model))
            return unknown("model", value.model, pointer("services", name, "model"));
    std::set<std::string_view> addresses;
    for (const auto& [id, value] : content.targets) {
        if (auto checked = checkTarget(content, id, value); !checked)
            return checked;
        if (!addresses.insert(value.address).second)
            return base::notRun(error_reason::InvalidRequest, "another target has this address",
                pointer("targets", id, "address"));
    }
    for (const auto& [id, drained] : content.drainedTargets)
        if (!content.targets.contains(id))
            return unknown("target", id, pointer("drained_targets", id));
    return {};
}

base::result<void> checkTransition(const config_content& before, const config_content& after)
{
    if (hasDomainInService(before) && !hasDomainInService(after)) {
        std::string field = "/failure_domains";
        for (const auto& [name, domain] : before.failureDomains)
            if (domain.inService && after.failureDomains.contains(name))
                field = pointer("failure_domains", name, "in_service");
        return base::notRun(error_reason::InvalidRequest,
            "the change takes the last failure domain out of service", std::move(field));
    }
    if (hasAdministrator(before) && !hasAdministrator(after))
        return base::notRun(error_reason::InvalidRequest,
            "no operator would be left with the right to change the configuration", "/operators");
    if (auto checked = checkRemoved<model>(before.models, after.models, after, "models",
            [](const target& value) -> const std::string& { return value.model; });
        !checked)
        return checked;
    if (auto checked = checkRemoved<service>(before.services, after.services, after, "services",
            [](const target& value) -> const std::string& { return value.service; });
        !checked)
        return checked;
    if (auto checked = checkReferences(after); !checked)
        return checked;
    if (auto checked = checkDrains(before, after); !checked)
        return checked;
    return checkSwaps(before, after);
}

} // namespace marigold::control
