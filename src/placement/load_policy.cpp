#include <egretmount/placement/load_policy.h>

#include <optional>
#include <set>

namespace egretmount::placement {

namespace {

bool hasUnequalTeams(const fleet::Configuration &configuration)
{
    std::set<std::optional<int>> priorities;
    for (const auto &[key, team] : configuration.teamsByKey)
        priorities.insert(team.priority);
    return priorities.size() > 1;
}

bool hasUnequalRoutes(const fleet::Configuration &configuration)
{
    std::set<int> priorities;
    for (const fleet::Route &route : configuration.routes) {
        if (route.carriesPrompt)
            priorities.insert(route.priority);
    }
    return priorities.size() > 1;
}

bool isCrowded(const FleetSize &size)
{
    return size.engines > 0 && size.instances >= minCrowdedInstances
           && size.instances >= crowdedInstancesPerEngine * size.engines;
}

} // namespace

LoadPolicy policyFor(LoadPolicyMode mode, const fleet::Configuration &configuration,
                     const FleetSize &size)
{
    if (mode == LoadPolicyMode::Off)
        return {};
    LoadPolicy policy;
    policy.isOn = mode == LoadPolicyMode::On || isCrowded(size);
    policy.hasRanks =
        policy.isOn && (hasUnequalRoutes(configuration) || hasUnequalTeams(configuration));
    return policy;
}

} // namespace egretmount::placement
