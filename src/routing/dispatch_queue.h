#pragma once

#include <optional>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief Returns the state of a service, created on first use. @complexity Logarithmic.
ServiceState &serviceOf(DispatchState &state, const ServiceId &service);

/// @brief Returns the lane of a request under the current policy.
LengthClass laneOf(const DispatchState &state, const Request &request);

/// @brief Adds a request to its lane.
/// @param weight Weight of its team in fair queueing.
void enqueue(ServiceState &service, LengthClass lane, const Request &request, double weight,
             Milliseconds now);

/// @brief Removes a request from its lane and from the long backlog.
/// @return False if the request is not queued.
bool removeQueued(ServiceState &service, const RequestId &request);

/// @brief Removes a request from its lane in order to send it. It stays in the long backlog.
/// @return Nothing if the request is not queued.
std::optional<Request> takeQueued(ServiceState &service, const RequestId &request);

/// @brief Marks a request as running at a target and adds the decision to send it.
/// @param isWithinShare Its team uses no more than its fair share.
void send(DispatchState &state, const Request &request, bool isWithinShare, TargetView &view,
          Milliseconds now, Decisions &decisions);

/// @brief Removes a prompt from the long backlog; does nothing for other prompts.
void removeFromLongBacklog(ServiceState &service, const Request &request);

/// @brief Returns the time until a lane has drained, or zero without a measured drain rate.
Milliseconds laneBacklog(const ServiceState &service, LengthClass lane);

/// @brief Refuses queued requests that can no longer meet their deadline, and dispatches as many of
///        the others as have room.
void dispatchQueued(DispatchState &state, ServiceState &service, Milliseconds now,
                    Decisions &decisions);

} // namespace egretmount::routing
