#pragma once

#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/limits/retry_budget.h>

namespace egretmount::instance {

/// @brief What one instance is told about itself and its surroundings when it starts.
struct Settings
{
    std::string name;
    std::string host; ///< Own address without a port.
    ZoneId zone;
    std::string region;
    std::string callerAddress; ///< Where callers connect; host and port.
    std::string directoryAddress; ///< Where callers ask for instances.
    std::string readinessAddress; ///< Where the platform asks whether this instance is ready.
    std::string controlAddress; ///< Named as first contact to other instances; may be empty.
    int firstPeerPort = 0; ///< Ports for traffic between instances.
    int lastPeerPort = 0;
    std::vector<std::string> contacts; ///< Hosts of a few instances; some may be down.
    std::string registryAddress; ///< The platform's store.
    Milliseconds shutdownGrace = Milliseconds(8'000); ///< From the stop signal to the kill.
    Milliseconds maxDirectoryTtl = Milliseconds(5'000); ///< Callers keep no answer for longer.
    limits::RetryBound retryBound;
};

} // namespace egretmount::instance
