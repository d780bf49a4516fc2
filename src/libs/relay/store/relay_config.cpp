#include "relay_config.h"

#include <algorithm>
#include <array>

namespace marigold::relay {

namespace {

/// Returns a digest of \a names that is not 0.
std::uint64_t digestOf(const std::set<std::string, std::less<>>& names)
{
    std::uint64_t digest = 1;
    for (const std::string& name : names)
        digest = base::hash64(name, digest);
    return std::max<std::uint64_t>(digest, 1);
}

} // namespace

std::string_view nameOf(request_kind kind)
{
    constexpr std::array<std::string_view, 3> names { "idempotent", "non_idempotent", "stream" };
    return names[static_cast<std::size_t>(kind)];
}

relay_config::relay_config(options opts)
    : m_version(opts.version)
    , m_limits(opts.limits)
    , m_hasTeams(opts.hasTeams)
{
    for (route& entry : opts.routes)
        m_routesByHost[entry.host].push_back(std::move(entry));
    for (auto& [host, routes] : m_routesByHost)
        std::ranges::stable_sort(
            routes, [](const route& a, const route& b) { return a.prefix.size() > b.prefix.size(); });
    for (service_info& service : opts.services) {
        const std::string name = service.name;
        m_services.emplace(name, std::move(service));
    }
    for (auto& [key, owner] : opts.teamsByKey)
        m_teamsByKey.emplace(std::move(key), std::move(owner));
    m_isolatedTeams.insert(opts.isolatedTeams.begin(), opts.isolatedTeams.end());
    for (const auto& [key, owner] : m_teamsByKey)
        if (owner.isolated)
            m_isolatedTeams.insert(owner.name);
    if (!m_isolatedTeams.empty())
        m_isolationDigest = digestOf(m_isolatedTeams);
}

const route* relay_config::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end())
        return nullptr;
    const std::string_view plain = path.substr(0, path.find('?'));
    const auto found
        = std::ranges::find_if(routes->second, [&](const route& r) { return plain.starts_with(r.prefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

const team* relay_config::findTeam(std::string_view key) const
{
    const auto found = m_teamsByKey.find(key);
    return found == m_teamsByKey.end() ? nullptr : &found->second;
}

bool relay_config::lacksWeights(const target_registration& target) const
{
    const service_info* service = findService(target.service);
    if (!service || !service->engine)
        return false;
    const std::vector<std::string>& models = service->engine->models;
    return models.empty() ? target.weightVersions.empty()
                          : std::ranges::none_of(models, [&](const std::string& model) {
                                return target.weightVersions.contains(model);
                            });
}

const service_info* relay_config::findService(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace marigold::relay
