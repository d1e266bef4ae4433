#pragma once

#include <egretmount/core/names.h>
#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief Why a request cannot be dispatched to a target now.
enum class Ineligibility {
    None, ///< The target is eligible.
    OtherService,
    NoNewWork, ///< The target or its availability zone is out of service.
    RecentFailure, ///< The target is in its back-off after a failure.
    NoShare, ///< This instance has no share of the target's capacity.
    MemoryTooSmall, ///< The request needs more memory than this instance's whole share.
    MemoryInUse, ///< The share has too little free memory now.
    SlotsInUse, ///< All slots of the share are in use.
};

/// @brief Returns the first reason why a request cannot be dispatched to a target.
/// @complexity Constant. @sa chooseTarget
Ineligibility ineligibilityOf(const TargetView &view, const Request &request, Milliseconds now);

/// @brief Returns the target that a request would be dispatched to now if no other request were
///        queued. Pools are ignored.
/// @return Nothing if no target has room.
/// @complexity Linear in the number of targets.
std::optional<TargetId> likelyTarget(const DispatchState &state, const Request &request,
                                     Milliseconds now);

/// @brief Returns an explanation for operators, without a final full stop.
std::string describe(Ineligibility ineligibility);

} // namespace egretmount::routing

namespace egretmount {

template<>
struct NameTable<routing::Ineligibility>
{
    static constexpr std::array<NameEntry<routing::Ineligibility>, 8> entries { {
        { routing::Ineligibility::None, "eligible" },
        { routing::Ineligibility::OtherService, "other-service" },
        { routing::Ineligibility::NoNewWork, "no-new-work" },
        { routing::Ineligibility::RecentFailure, "recent-failure" },
        { routing::Ineligibility::NoShare, "no-share" },
        { routing::Ineligibility::MemoryTooSmall, "memory-too-small" },
        { routing::Ineligibility::MemoryInUse, "memory-in-use" },
        { routing::Ineligibility::SlotsInUse, "slots-in-use" },
    } };
};

} // namespace egretmount
