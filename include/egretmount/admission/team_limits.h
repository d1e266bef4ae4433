#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::admission {

/// @brief Delay before a larger share is used. Until then other instances may still apply an older
///        instance list and use the tokens that this instance gains.
constexpr Milliseconds shareHoldOff = Milliseconds(10'000);

/// @brief This instance's share of the token limits of teams, and the tokens held of it.
struct TeamLimits
{
    std::int64_t instances = 1; ///< Instances that the limits are divided among.
    std::int64_t position = 0; ///< Index of this instance; the first ones get the remainder.
    std::int64_t nextInstances = 1;
    std::int64_t nextPosition = 0;
    Milliseconds nextEffectiveAt; ///< When the next division takes effect.
    std::unordered_map<TeamId, TokenCount> held; ///< By requests of this instance.
};

/// @brief Applies the published instance list. A longer list takes effect at once, a shorter one
///        after `shareHoldOff`.
/// @param listed All instances of the list, sorted.
void setInstances(TeamLimits &limits, const std::vector<InstanceId> &listed, const InstanceId &self,
                  Milliseconds now);

/// @brief Returns this instance's share of a limit. The shares of all instances sum to the limit.
TokenCount shareOfLimit(TeamLimits &limits, TokenCount limit, Milliseconds now);

/// @brief Acquires tokens of a team's share.
/// @param limit Limit of the team over all instances; zero means no limit.
/// @return False if the share has too few tokens left. None are acquired then.
bool tryAcquireTokens(TeamLimits &limits, const TeamId &team, TokenCount limit, TokenCount tokens,
                      Milliseconds now);

/// @brief Releases tokens that were acquired.
void releaseTokens(TeamLimits &limits, const TeamId &team, TokenCount tokens);

} // namespace egretmount::admission
