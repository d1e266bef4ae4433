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

/// @brief How the work at a target ended.
enum class Outcome {
    Completed,
    Cancelled, ///< The caller left or the deadline passed; the target is not to blame.
    Failed, ///< The target broke off or could not be reached.
};

/// @brief A request goes to a target now.
struct Assigned
{
    RequestId request;
    TargetId target;
    int enginePriority = 0;
};

/// @brief A request is answered with an error now; no target has received it.
struct Refused
{
    RequestId request;
    Error error;
};

/// @brief What the daemon has to carry out after an event.
struct Decisions
{
    std::vector<Assigned> assigned;
    std::vector<Refused> refused;
};

/// @brief A request that waits in a lane, and when it has to be answered at the latest.
struct QueuedRequest
{
    LengthClass lane = LengthClass::Short;
    Milliseconds latestStart; ///< Started later, it would miss its deadline.
};

/// @brief A request at a target.
struct RunningRequest
{
    Request request;
    TargetId target;
    Milliseconds sentAt;
    Milliseconds firstTokenAt;
    bool hasFirstToken = false;
    TokenCount promptTokensAhead = 0; ///< Own prompts that waited at the target when it was sent.
};

/// @brief The waiting requests and the usable targets of one service.
struct ServiceState
{
    std::array<admission::Lane, 4> lanes; ///< By length class; one queue by arrival uses the first.
    std::array<admission::DrainRate, 4> drainRates;
    std::unordered_map<RequestId, QueuedRequest> queued;
    std::set<std::pair<Milliseconds, RequestId>> byLatestStart;
    std::vector<std::size_t> order; ///< Usable targets, in an order common to all instances.
    TokenCount largestMemory = 0; ///< Of any target of the service; zero: without bound.
    LengthDemand demand;
    Rates rates;
};

/// @brief All that one instance knows and decides about requests and targets.
struct DispatchState
{
    LanePolicy policy = LanePolicy::Elastic;
    ZoneId ownZone;
    Random random { 0 };
    std::size_t maxQueuedPerLane = 2'000; ///< Requests of one lane.
    std::vector<TargetView> targets;
    std::unordered_map<TargetId, std::size_t> indexes; ///< Into `targets`.
    std::map<ServiceId, ServiceState> services;
    std::unordered_map<RequestId, RunningRequest> running;
};

/// @brief Puts the targets of a new document in force; what is known of old ones is kept.
Decisions setTargets(DispatchState &state, std::vector<TargetView> targets, Milliseconds now);

/// @brief Sets the instance's share of a target; unknown targets are ignored.
Decisions setSpendable(DispatchState &state, const TargetId &target,
                       const config::Capacity &spendable, Milliseconds now);

/// @brief Takes a request in: it is assigned, waits, or is refused at once.
/// @param weight Share of its team.
/// @complexity Linear in the targets that this instance has a share of.
Decisions submit(DispatchState &state, const Request &request, double weight, Milliseconds now);

/// @brief Takes a waiting request out without an answer, as its caller has left.
void cancelQueued(DispatchState &state, const RequestId &request);

Decisions onFirstToken(DispatchState &state, const RequestId &request, Milliseconds now);

/// @param generated Tokens of the answer, as far as it came.
Decisions finish(DispatchState &state, const RequestId &request, Outcome outcome,
                 TokenCount generated, Milliseconds now);

Decisions applyReport(DispatchState &state, const TargetId &target, const LoadReport &report,
                     Milliseconds now);

/// @brief Refuses what can no longer meet its deadline, and assigns what has become possible.
Decisions tick(DispatchState &state, Milliseconds now);

/// @brief A target's view. @return Null if it is unknown. @complexity Constant.
TargetView *findView(DispatchState &state, const TargetId &target);

} // namespace egretmount::routing
