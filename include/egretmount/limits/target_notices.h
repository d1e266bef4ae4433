#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/target_table.h>

namespace egretmount::limits {

/// @brief What a target has asked of this instance in its responses, in one incarnation.
struct TargetNotice
{
    std::int64_t startedAt = 0; ///< Start stamp of the incarnation.
    bool isLeaving = false; ///< It shuts down soon and accepts no new work.
    Milliseconds turnedAwayUntil; ///< It accepts no new work of this instance before this time.
    Milliseconds heardAt; ///< When the target, or another instance, last sent the notice.
};

/// @brief The notices of all targets.
///
/// A notice binds the incarnation that sent it: a target that starts again, with its old id or with
/// another one, starts without.
struct TargetNotices
{
    std::map<TargetId, TargetNotice> byTarget;
};

/// @brief Longest time for which a target can turn requests away with one response.
///
/// A wrong value must not take a target out of use for good.
constexpr Milliseconds maxTurnAway = Milliseconds(300'000);

/// @brief Time for which a target turns requests away if the field that states it is malformed.
constexpr Milliseconds malformedTurnAway = Milliseconds(1'000);

/// @brief Greatest delay that `spreadReturn` adds.
constexpr Milliseconds maxReturnSpread = Milliseconds(500);

/// @brief Greatest share of the latency target that a request waits for a target's return.
///
/// A caller that is refused can try another instance, which this target may not have turned away.
constexpr double maxReturnWaitShare = 0.125;

/// @brief How long a notice of a target that is no longer listed is kept. The entry of an
///        incarnation that still runs may come back.
constexpr Milliseconds unlistedNoticeLifetime = Milliseconds(60'000);

/// @brief A time for which a target turns requests away.
struct TurnAway
{
    Milliseconds time;
    bool isCorrected = false; ///< The stated value was malformed or too great.
};

/// @brief Returns the time for which a target turns requests away.
/// @param statedSeconds The value in its response; nothing if it is malformed.
TurnAway turnAwayOf(std::optional<double> statedSeconds);

/// @brief Adds up to a quarter to a delay, so that not all instances, or all callers, return at the
///        same moment.
/// @param randomBits Differs between those that return.
Milliseconds spreadReturn(Milliseconds delay, std::uint64_t randomBits);

/// @brief Records that a target is leaving. Notices of earlier incarnations are ignored.
/// @return True if this was not known.
bool recordLeaving(TargetNotices &notices, const TargetId &target, std::int64_t startedAt,
                   Milliseconds now);

/// @brief Records that a target accepts nothing from this instance until the given time. Notices of
///        earlier incarnations are ignored.
/// @return True if the target did not already turn requests away.
bool recordTurnedAway(TargetNotices &notices, const TargetId &target, std::int64_t startedAt,
                      Milliseconds until, Milliseconds now);

/// @brief Returns whether a target has sent notice that it is leaving.
bool isLeaving(const TargetNotices &notices, const fleet::TargetEntry &target);

/// @brief Returns whether a target turns away the requests of this instance.
bool isTurnedAway(const TargetNotices &notices, const fleet::TargetEntry &target, Milliseconds now);

/// @brief Returns whether new work may be sent to a target.
bool acceptsWork(const TargetNotices &notices, const fleet::TargetEntry &target, Milliseconds now);

/// @brief Returns how long it takes until one of the targets accepts work again.
/// @param targets Targets that only their notices keep from being used.
/// @return Zero if one accepts work now; nothing if all are leaving or there is none.
std::optional<Milliseconds> timeUntilReturn(const TargetNotices &notices,
                                            const std::vector<const fleet::Target *> &targets,
                                            Milliseconds now);

/// @brief Returns whether a request that no target accepts now waits for one that returns. It is
///        refused otherwise.
/// @param waitTime Time from the request's arrival to the return.
/// @param lifetime Time from the request's arrival to its deadline.
bool shouldAwaitReturn(Milliseconds waitTime, Milliseconds latencyTarget, Milliseconds lifetime);

/// @brief Removes notices that have no effect any more.
void removeOutdated(TargetNotices &notices, const fleet::TargetTable &table, Milliseconds now);

} // namespace egretmount::limits
