#pragma once

#include <array>
#include <cstddef>

#include <egretmount/core/names.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief When the decisions for scarce capacity and uneven load apply.
enum class LoadPolicyMode {
    Off,
    On,
    Auto, ///< If many instances choose among few engines; see `policyFor`.
};

/// @brief Which of the decisions for scarce capacity and uneven load apply.
struct LoadPolicy
{
    bool isOn = false; ///< If false, requests are placed and admitted without them.
    bool hasRanks = false; ///< Requests for model engines differ in priority.

    friend bool operator==(const LoadPolicy &a, const LoadPolicy &b)
    {
        return a.isOn == b.isOn && a.hasRanks == b.hasRanks;
    }
    friend bool operator!=(const LoadPolicy &a, const LoadPolicy &b) { return !(a == b); }
};

/// @brief Numbers of instances and of model engines of a deployment.
struct FleetSize
{
    std::size_t instances = 0;
    std::size_t engines = 0;
};

/// @brief Least number of instances for each engine with which the mode `Auto` applies the policy.
///
/// With that many, several instances choose an engine before they know of each other's choice.
constexpr std::size_t crowdedInstancesPerEngine = 2;

/// @brief Least number of instances with which the mode `Auto` applies the policy. Smaller fleets
///        form a single cell, in which all placements are known.
constexpr std::size_t minCrowdedInstances = 48;

/// @brief Chooses the policy of a deployment.
///
/// In the mode `Auto` the policy is on if many instances choose among few engines. Priorities of
/// routes and teams do not turn it on; where it is on, they give ranks to requests.
/// @complexity Linear in the routes and the API keys.
LoadPolicy policyFor(LoadPolicyMode mode, const fleet::Configuration &configuration,
                     const FleetSize &size);

} // namespace egretmount::placement

template<>
struct egretmount::NameTable<egretmount::placement::LoadPolicyMode>
{
    using LoadPolicyMode = egretmount::placement::LoadPolicyMode;
    static constexpr std::array<NameEntry<LoadPolicyMode>, 3> entries { {
        { LoadPolicyMode::Off, "off" },
        { LoadPolicyMode::On, "on" },
        { LoadPolicyMode::Auto, "auto" },
    } };
};
