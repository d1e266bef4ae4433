#pragma once

#include <string>
#include <vector>

#include <egretmount/config/schema.h>
#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/routing/lane_policy.h>

#include "kernel/settings.h"

namespace egretmount::entry {

/// @brief Settings of an entry instance.
struct EntrySettings
{
    InstanceId id;
    ZoneId zone;
    std::string httpAddress;
    std::string rpcAddress;
    std::string platformAddress;
    std::string fleetKey;
    std::string senderToken; ///< Proves to targets that an order is the fleet's; may be empty.
    std::string operatorsAddress; ///< Empty: operators' pages are on the callers' address.
    std::size_t maxBodyBytes = 0;
    int maxRequests = 0;
    Milliseconds defaultDeadline;
    Milliseconds maxDeadline;
    Milliseconds locateMaxAge;
    Milliseconds drainSlack;
    routing::LanePolicy lanePolicy = routing::LanePolicy::Elastic;
    Milliseconds ticketLifetime;
    bool usesWitness = true;
    Milliseconds listLag; ///< Two instances have one list within this time.
    Milliseconds reportLag; ///< Greatest age of a target's report when it arrives.
};

/// @brief Specification of the settings.
const std::vector<config::SectionSpec> &entrySettingsSpecs();

/// @brief Reads checked settings.
EntrySettings readEntrySettings(const kernel::Settings &settings);

} // namespace egretmount::entry
