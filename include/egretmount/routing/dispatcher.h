#pragma once

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include <egretmount/admission/lane_queue.h>
#include <egretmount/admission/overload.h>
#include <egretmount/core/error.h>
#include <egretmount/routing/choice.h>

namespace egretmount::routing {

/// @brief How a request ended at its target.
enum class Outcome {
    Completed,
    Cancelled, ///< The caller disconnected or the deadline passed: no failure of the target.
    Failed, ///< The target aborted the response or was unreachable.
};

/// @brief The decision to send a request to a target.
struct Assigned
{
    RequestId request;
    TargetId target;
    int enginePriority = 0;
};

/// @brief The decision to refuse a request with an error. No target has received it.
struct Refused
{
    RequestId request;
    Error error;
};

/// @brief Decisions that the daemon has to carry out after an event.
struct Decisions
{
    std::vector<Assigned> assigned;
    std::vector<Refused> refused;
};

/// @brief A request that is queued in a lane.
struct QueuedRequest
{
    LengthClass lane = LengthClass::Short;
    Milliseconds latestStart; ///< If sent to a target later, it would miss its deadline.
};

/// @brief A request that was sent to a target and has not ended.
struct RunningRequest
{
    Request request;
    TargetId target;
    Milliseconds sentAt;
    Milliseconds firstTokenAt;
    bool hasFirstToken = false;
    TokenCount promptTokensAhead = 0; ///< Own prompt tokens queued at the target on sending.
};

/// @brief The queued requests and the usable targets of one service.
struct ServiceState
{
    std::array<admission::Lane, 4> lanes; ///< By length class; a single queue uses the first.
    std::array<admission::DrainRate, 4> drainRates;
    std::unordered_map<RequestId, QueuedRequest> queued;
    std::set<std::pair<Milliseconds, RequestId>> byLatestStart; ///< Keys of `queued`.
    std::vector<std::size_t> order; ///< Usable targets, in the same order at all instances.
    TokenCount largestMemory = 0; ///< Of any target; zero: unbounded.
    LengthDemand demand;
    Rates rates;
};

/// @brief Dispatch state of one instance: its requests and the targets that it knows.
struct DispatchState
{
    LanePolicy policy = LanePolicy::Elastic;
    ZoneId ownZone;
    Random random { 0 };
    std::size_t maxQueuedPerLane = 2'000;
    std::vector<TargetView> targets;
    std::unordered_map<TargetId, std::size_t> indexes; ///< Into `targets`.
    std::map<ServiceId, ServiceState> services;
    std::unordered_map<RequestId, RunningRequest> running;
};

/// @brief Applies the targets of a new document and dispatches queued requests. Targets that were
///        already known keep their state.
Decisions setTargets(DispatchState &state, std::vector<TargetView> targets, Milliseconds now);

/// @brief Sets the instance's share of a target and dispatches queued requests. Ignores unknown
///        targets.
Decisions setSpendable(DispatchState &state, const TargetId &target,
                       const config::Capacity &spendable, Milliseconds now);

/// @brief Submits a request, which is dispatched, queued or refused at once.
/// @param weight Weight of its team in fair queueing.
/// @complexity Linear in the targets that this instance has a share of.
Decisions submit(DispatchState &state, const Request &request, double weight, Milliseconds now);

/// @brief Removes a queued request without a response, as its caller has disconnected.
void cancelQueued(DispatchState &state, const RequestId &request);

/// @brief Records the first token of a running request and dispatches queued requests.
Decisions onFirstToken(DispatchState &state, const RequestId &request, Milliseconds now);

/// @brief Ends a running request and dispatches queued requests.
/// @param generated Output tokens received, also of an incomplete response.
Decisions finish(DispatchState &state, const RequestId &request, Outcome outcome,
                 TokenCount generated, Milliseconds now);

/// @brief Applies a load report of a target and dispatches queued requests.
Decisions applyReport(DispatchState &state, const TargetId &target, const LoadReport &report,
                      Milliseconds now);

/// @brief Refuses queued requests that can no longer meet their deadline, and dispatches those that
///        have room.
Decisions tick(DispatchState &state, Milliseconds now);

/// @brief Returns the view of a target, or null if it is unknown. @complexity Constant.
TargetView *findView(DispatchState &state, const TargetId &target);

} // namespace egretmount::routing
