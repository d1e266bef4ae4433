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

/// @brief A prompt that this instance sent to a target and that has no first token so far.
struct PendingPrompt
{
    RequestId request;
    TokenCount tokens = 0;
    Milliseconds sentAt;
};

/// @brief What one instance knows of one target.
struct TargetView
{
    TargetId id;
    ServiceId service;
    ZoneId zone;
    std::string address;
    bool acceptsNewWork = true;
    config::Capacity capacity; ///< The target's whole capacity when warm.
    config::Capacity spendable; ///< This instance's share of the target's capacity.
    config::Capacity inFlight; ///< Held by this instance's own requests.
    std::vector<PendingPrompt> pending; ///< Own prompts without a first token so far.
    TokenCount shortRequestMemory = 0; ///< Memory held by own requests that are not long.
    TokenCount waitingPromptTokens = 0; ///< Sum of `pending`.
    int pendingLongPrompts = 0; ///< Long prompts in `pending`.
    LoadReport report; ///< The target's own, lagging word.
    TokenCount othersQueuedTokens = 0; ///< Of the report, what is not this instance's own work.
    Milliseconds reportedAt;
    Milliseconds failedUntil; ///< Not chosen before; set after a failure.
    Milliseconds slowStartBegin; ///< When it came back, for the slow start.
    bool isInSlowStart = false; ///< It came back since this instance first knew it.
    Rates rates;
};

/// @brief After its return a target is given its full share only gradually, over this time.
constexpr Milliseconds slowStartDuration = Milliseconds(4'000);

/// @brief A report is taken to be this old when it arrives.
constexpr Milliseconds estimatedReportAge = Milliseconds(200);

/// @brief The part of its share that a target may be given, from 0.1 to 1, by time since its
/// return.
double slowStartShare(const TargetView &view, Milliseconds now);

/// @brief True if the instance's share of a target has room for a request.
bool hasRoom(const TargetView &view, const Request &request, Milliseconds now);

/// @brief True if an idle share would hold the request.
bool fitsShare(const TargetView &view, const Request &request);

/// @brief Counts a request that is sent to a target.
void recordSent(TargetView &view, const Request &request, Milliseconds now);

/// @brief Counts the first token of a request.
void recordFirstToken(TargetView &view, const Request &request);

/// @brief Gives back what a request held.
void recordEnded(TargetView &view, const Request &request);

/// @brief Takes in a report, without counting own work in it twice.
void applyReport(TargetView &view, const LoadReport &report, Milliseconds now);

/// @brief Own prompt tokens at a target that it processes before a new prompt.
TokenCount ownPromptTokensAhead(const TargetView &view, LengthClass length, LanePolicy policy);

/// @brief Time that a prompt waits at a target before its own prefill starts, in milliseconds.
/// @param usualRate Prefill rate of the service, for a target whose own is not measured.
double expectedWaitMs(const TargetView &view, LengthClass length, LanePolicy policy,
                      double servicePrefillRate, Milliseconds now);

/// @brief Views among which a request may choose: `order[first]` to `order[last - 1]`.
struct Candidates
{
    const std::vector<TargetView> &views;
    const std::vector<std::size_t> &order;
    std::size_t first = 0;
    std::size_t last = 0;
    double servicePrefillRate = defaultPrefillTokensPerMs; ///< Prefill rate of the service.
    std::size_t longPoolEnd = 0; ///< Before it, short requests leave `reservedMemory` for a long one.
    TokenCount reservedMemory = 0; ///< Memory that the next waiting long request needs.
};

/// @brief Chooses the target for a request: of those with room, the one with the shortest wait,
///        those in the instance's own availability zone first among equals.
///
/// Under the elastic policy a target takes one long prompt at a time, and short prompts prefer
/// targets without one.
/// @return Index of the view; nothing if no target has room.
/// @complexity Linear in the number of candidates.
std::optional<std::size_t> chooseTarget(const Candidates &candidates, const Request &request,
                                        LanePolicy policy, const ZoneId &ownZone, Milliseconds now);

} // namespace egretmount::routing
