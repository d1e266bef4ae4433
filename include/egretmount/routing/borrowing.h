#pragma once

#include <vector>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief A request at the front of its lane that no share of this instance has room for.
struct CapacityBlockedRequest
{
    Request request;
    std::vector<TargetId> candidates; ///< Where borrowed capacity would help, best first.
};

/// @brief The blocked requests of all services, at most one for each lane.
///
/// Long prompts are offered the targets of their pool only, as with the instance's own share, and
/// targets that this instance has no share of.
/// @pre The last event was followed by a pump, as every event function does.
/// @complexity Linear in the targets of the services that have a blocked request.
std::vector<CapacityBlockedRequest> findCapacityBlockedRequests(const DispatchState &state, Milliseconds now);

/// @brief Sends a waiting request to a target whose share has room for it now.
/// @return Nothing if the request no longer waits or the target is unknown.
Decisions dispatchToTarget(DispatchState &state, const RequestId &request, const TargetId &target,
                   Milliseconds now);

} // namespace egretmount::routing
