#pragma once

#include <egretmount/core/names.h>
#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief Why a target cannot take a request now.
enum class Ineligibility {
    None, ///< It can.
    OtherService,
    NoNewWork, ///< The target or its availability zone is taken out.
    RecentFailure, ///< It failed a moment ago.
    NoShare, ///< This instance holds no part of its capacity.
    MemoryTooSmall, ///< The request needs more memory than this instance's whole share.
    MemoryInUse, ///< The free part of the share is too small now.
    SlotsInUse,
};

/// @brief The first obstacle between a request and a target.
/// @complexity Constant. @sa chooseTarget
Ineligibility ineligibilityOf(const TargetView &view, const Request &request, Milliseconds now);

/// @brief The target that a request would be given now, lanes and waiting requests apart.
/// @return Nothing if no target has room.
/// @complexity Linear in the number of targets.
std::optional<TargetId> likelyTarget(const DispatchState &state, const Request &request,
                                     Milliseconds now);

/// @brief A sentence for the operator, without its full stop.
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
