#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/request.h>
#include <egretmount/routing/lane_policy.h>
#include <egretmount/routing/load_report.h>
#include <egretmount/routing/rates.h>

namespace egretmount::routing {

/// @brief A prompt that this instance sent to a target and that has no first token yet.
struct PendingPrompt
{
    RequestId request;
    TokenCount tokens = 0;
    Milliseconds sentAt;
};

/// @brief The state of one target as one instance knows it.
struct TargetView
{
    TargetId id;
    ServiceId service;
    ZoneId zone;
    std::string address;
    bool acceptsNewWork = true;
    config::Capacity capacity; ///< Capacity of the whole target when warm.
    config::Capacity spendable; ///< This instance's share of the target's capacity.
    config::Capacity inFlight; ///< Capacity held by this instance's own requests.
    std::vector<PendingPrompt> pending; ///< Own prompts without a first token.
    TokenCount shortRequestMemory = 0; ///< Memory held by own short and medium requests.
    TokenCount waitingPromptTokens = 0; ///< Sum of the tokens in `pending`.
    int pendingLongPrompts = 0; ///< Number of long prompts in `pending`.
    LoadReport report; ///< Latest report of the target; lags behind its state.
    TokenCount othersQueuedTokens = 0; ///< Reported prompt tokens of other instances.
    Milliseconds reportedAt;
    Milliseconds failedUntil; ///< Not eligible before; set after a failure.
    Milliseconds slowStartBegin; ///< Last return to service or end of a failure back-off.
    bool isInSlowStart = false; ///< A slow start has begun; it is over after `slowStartDuration`.
    Rates rates;
};

/// @brief Time in which a target that returns to service or recovers from a failure is ramped up to
///        its full share.
constexpr Milliseconds slowStartDuration = Milliseconds(4'000);

/// @brief Assumed age of a load report on arrival.
constexpr Milliseconds estimatedReportAge = Milliseconds(200);

/// @brief Returns the fraction of its share that a target may receive during slow start, from 0.1
///        to 1, by the time since its return.
double slowStartShare(const TargetView &view, Milliseconds now);

/// @brief Returns true if the instance's share of a target has room for a request now.
bool hasRoom(const TargetView &view, const Request &request, Milliseconds now);

/// @brief Returns true if the request fits into the instance's share while nothing is in flight.
bool fitsShare(const TargetView &view, const Request &request);

/// @brief Adds a request that was sent to a target to the capacity in flight there.
void recordSent(TargetView &view, const Request &request, Milliseconds now);

/// @brief Removes a prompt from the pending prompts, as its first token has arrived.
void recordFirstToken(TargetView &view, const Request &request);

/// @brief Releases the capacity that a request held.
void recordEnded(TargetView &view, const Request &request);

/// @brief Applies a load report. Own prompts that it includes are subtracted, as they are already
///        counted in `pending`.
void applyReport(TargetView &view, const LoadReport &report, Milliseconds now);

/// @brief Returns the own prompt tokens that a target prefills before a new prompt.
TokenCount ownPromptTokensAhead(const TargetView &view, LengthClass length, LanePolicy policy);

/// @brief Estimates how long a prompt waits at a target before its prefill starts, in milliseconds.
/// @param servicePrefillRate Prefill rate of the service in tokens per millisecond, used for a
///                           target without a measured rate.
double expectedWaitMs(const TargetView &view, LengthClass length, LanePolicy policy,
                      double servicePrefillRate, Milliseconds now);

/// @brief The targets that a request may be dispatched to: `order[first]` to `order[last - 1]`.
struct Candidates
{
    const std::vector<TargetView> &views;
    const std::vector<std::size_t> &order;
    std::size_t first = 0;
    std::size_t last = 0;
    double servicePrefillRate = defaultPrefillTokensPerMs; ///< Tokens per ms.
    std::size_t longPoolEnd = 0; ///< Short requests before it leave `reservedMemory` free.
    TokenCount reservedMemory = 0; ///< Memory that the next queued long request needs.
};

/// @brief Chooses the target with the shortest expected wait among those with room for a request.
///
/// A target outside the instance's own availability zone is charged the latency between zones.
/// Targets with equal waits are ordered by their slots in flight. Under the elastic policy a target
/// processes one long prompt at a time, and short prompts prefer targets without one.
/// @return Index of the view; nothing if no target has room.
/// @complexity Linear in the number of candidates.
std::optional<std::size_t> chooseTarget(const Candidates &candidates, const Request &request,
                                        LanePolicy policy, const ZoneId &ownZone, Milliseconds now);

} // namespace egretmount::routing
