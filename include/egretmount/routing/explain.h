#pragma once

#include <egretmount/core/names.h>
#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief Why a target cannot take a request now.
enum class Obstacle {
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
Obstacle obstacleFor(const TargetView &view, const Request &request, Milliseconds now);

/// @brief The target that a request would be given now, lanes and waiting requests apart.
/// @return Nothing if no target has room.
/// @complexity Linear in the number of targets.
std::optional<TargetId> likelyTarget(const DispatchState &state, const Request &request,
                                     Milliseconds now);

/// @brief A sentence for the operator, without its full stop.
std::string describe(Obstacle obstacle);

} // namespace egretmount::routing

namespace egretmount {

template<>
struct NameTable<routing::Obstacle>
{
    static constexpr std::array<NameEntry<routing::Obstacle>, 8> entries { {
        { routing::Obstacle::None, "eligible" },
        { routing::Obstacle::OtherService, "other-service" },
        { routing::Obstacle::NoNewWork, "no-new-work" },
        { routing::Obstacle::RecentFailure, "recent-failure" },
        { routing::Obstacle::NoShare, "no-share" },
        { routing::Obstacle::MemoryTooSmall, "memory-too-small" },
        { routing::Obstacle::MemoryInUse, "memory-in-use" },
        { routing::Obstacle::SlotsInUse, "slots-in-use" },
    } };
};

} // namespace egretmount
