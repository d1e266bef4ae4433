#include <egretmount/fleet/configuration.h>

#include <algorithm>

namespace egretmount::fleet {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return key;
}

} // namespace

void indexRoutes(Configuration &configuration)
{
    configuration.routesByHost.clear();
    for (std::size_t i = 0; i < configuration.routes.size(); ++i)
        configuration.routesByHost[hostKey(configuration.routes[i].host)].push_back(i);
    for (auto &[host, indexes] : configuration.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
            return configuration.routes[a].prefix.size() > configuration.routes[b].prefix.size();
        });
    }
}

const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view target)
{
    const auto found = configuration.routesByHost.find(hostKey(host));
    if (found == configuration.routesByHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        const Route &route = configuration.routes[index];
        if (path.substr(0, route.prefix.size()) == route.prefix)
            return &route;
    }
    return nullptr;
}

const ServiceId &chooseService(const Route &route, double draw)
{
    int total = 0;
    for (const RouteShare &share : route.shares)
        total += share.weight;
    double point = draw * total;
    for (const RouteShare &share : route.shares) {
        point -= share.weight;
        if (point < 0)
            return share.service;
    }
    return route.shares.back().service;
}

const ServiceSpec *findService(const Configuration &configuration, const ServiceId &id)
{
    const auto found = configuration.services.find(id.value);
    return found == configuration.services.end() ? nullptr : &found->second;
}

const Team *findTeam(const Configuration &configuration, std::string_view key)
{
    const auto found = configuration.teamsByKey.find(std::string(key));
    return found == configuration.teamsByKey.end() ? nullptr : &found->second;
}

int rankOf(const Route &route, const Team *team)
{
    const int teamPriority =
        team != nullptr ? team->priority.value_or(defaultTeamPriority) : defaultTeamPriority;
    return std::clamp(std::max(teamPriority, 0) * routePriorities
                          + std::clamp(route.priority, 0, routePriorities - 1),
                      0, maxRank);
}

bool recordRegistryVersion(ConfigurationStatus &status, ConfigVersion version, Milliseconds now)
{
    status.inRegistry = version;
    if (version < status.inForce) {
        if (!status.missingSince)
            status.missingSince = now;
        return false;
    }
    status.missingSince.reset();
    const bool isNewer = version > status.inForce;
    status.inForce = version;
    return isNewer;
}

ConfigVersion confirmedVersion(const ConfigurationStatus &status, Milliseconds limit,
                               Milliseconds now)
{
    return status.missingSince && now - *status.missingSince >= limit ? 0 : status.inForce;
}

} // namespace egretmount::fleet
