#pragma once

#include <vector>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief A request at the front of its lane for which no share of this instance has room.
struct CapacityBlockedRequest
{
    Request request;
    std::vector<TargetId> candidates; ///< Targets to borrow capacity of, best first.
};

/// @brief Returns the capacity-blocked requests of all services, at most one for each lane.
///
/// The candidates of a long prompt are the targets of the long pool, as with the instance's own
/// shares, and the targets that this instance has no share of.
/// @pre `dispatchQueued` ran after the last event; every event function calls it.
/// @complexity Linear in the targets of the services that have a blocked request.
std::vector<CapacityBlockedRequest> findCapacityBlockedRequests(const DispatchState &state,
                                                                Milliseconds now);

/// @brief Dispatches a queued request to a given target.
/// @pre The share of the target, including borrowed capacity, has room for the request.
/// @return No decisions if the request is no longer queued or the target is unknown.
Decisions dispatchToTarget(DispatchState &state, const RequestId &request, const TargetId &target,
                           Milliseconds now);

} // namespace egretmount::routing
