#pragma once

#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/instance/capacity.h>
#include <egretmount/limits/retry_budget.h>

namespace egretmount::instance {

/// @brief Settings of one instance and its environment, read at startup.
struct Settings
{
    std::string name;
    std::string host; ///< Address of this instance, without a port.
    ZoneId zone;
    std::string region;
    std::string callerAddress; ///< Listen address for callers; host and port.
    std::string directoryAddress; ///< Listen address of the directory of instances for callers.
    std::string readinessAddress; ///< Listen address for the readiness probe of the platform.
    /// Listen address that other instances are given as a contact; also serves the directory. May
    /// be empty.
    std::string controlAddress;
    int firstPeerPort = 0; ///< First port for traffic between instances.
    int lastPeerPort = 0; ///< Last port for traffic between instances.
    std::vector<std::string> contacts; ///< Hosts of some other instances; some may be down.
    std::string registryAddress; ///< Address of the key-value store of the platform.
    Milliseconds shutdownGrace = Milliseconds(8'000); ///< From the stop signal to the kill.
    Milliseconds maxDirectoryTtl = Milliseconds(5'000); ///< Limit for caching directory responses.
    Milliseconds drainTime = Milliseconds(2'000); ///< A target that leaves serves on for this long.
    /// Interval at which targets renew their registry entries.
    Milliseconds heartbeatInterval = Milliseconds(1'200);
    limits::RetryBound retryBound;
    Capacity capacity; ///< As of the start; a later change takes effect with the next start.
};

} // namespace egretmount::instance
