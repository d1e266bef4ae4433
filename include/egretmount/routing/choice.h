#pragma once

#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/request.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::routing {

/// @brief What one instance knows of one target.
struct TargetView
{
    TargetId id;
    ServiceId service;
    ZoneId zone;
    std::string address;
    bool acceptsNewWork = true;
    config::Capacity spendable; ///< This instance's share of the target's capacity.
    config::Capacity inFlight; ///< Held by this instance's own requests.
    TokenCount waitingPromptTokens = 0; ///< Own prompts without a first token so far.
    LoadReport report; ///< The target's own, lagging word.
    Milliseconds failedUntil; ///< Not chosen before; set after a failure.
};

/// @brief True if the instance's share of a target has room for a request.
bool hasRoom(const TargetView &view, const Request &request);

/// @brief Chooses the target for a request: of those with room, the one with the least work before
///        it, those in the instance's own availability zone first among equals.
/// @return Null if no target has room.
/// @complexity Linear in the number of views.
const TargetView *chooseTarget(const std::vector<TargetView> &views, const Request &request,
                               const ZoneId &ownZone, Milliseconds now);

} // namespace egretmount::routing
