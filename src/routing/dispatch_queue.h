#pragma once

#include <optional>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief The state of a service, made on first use. @complexity Logarithmic.
ServiceState &serviceOf(DispatchState &state, const ServiceId &service);

/// @brief The lane of a request under the policy in force.
LengthClass laneOf(const DispatchState &state, const Request &request);

/// @brief Puts a request into its lane.
void enqueue(ServiceState &service, LengthClass lane, const Request &request, double weight,
             Milliseconds now);

/// @brief Takes a request out of its lane. @return False if it does not wait.
bool removeQueued(ServiceState &service, const RequestId &request);

/// @brief Takes a request out of its lane in order to send it. @return Nothing if it does not wait.
std::optional<Request> takeQueued(ServiceState &service, const RequestId &request);

/// @brief Marks a request as running at a target.
/// @param isWithinShare Its team uses no more than its share.
void send(DispatchState &state, const Request &request, bool isWithinShare, TargetView &view,
          Milliseconds now, Decisions &decisions);

/// @brief Tells that a prompt is no longer part of the long backlog.
void removeFromLongBacklog(ServiceState &service, const Request &request);

/// @brief Time that the requests of a lane take to leave it; zero if it is not measured.
Milliseconds laneBacklog(const ServiceState &service, LengthClass lane);

/// @brief Refuses what can no longer meet its deadline, and assigns as much as has room.
void dispatchQueued(DispatchState &state, ServiceState &service, Milliseconds now, Decisions &decisions);

} // namespace egretmount::routing
