#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::admission {

/// @brief A share that has grown is used only after this time, as others may still see an older
///        list and use what this instance has gained.
constexpr Milliseconds shareHoldOff = Milliseconds(10'000);

/// @brief This instance's part of the token limits of teams, and what its requests hold of it.
struct TeamLimits
{
    std::int64_t instances = 1; ///< Over which limits are split.
    std::int64_t position = 0; ///< Of this instance among them; the first ones hold the rest.
    std::int64_t nextInstances = 1;
    std::int64_t nextPosition = 0;
    Milliseconds nextEffectiveAt; ///< When the next split is put in force.
    std::unordered_map<TeamId, TokenCount> held;
};

/// @brief Takes in the published list: a larger one at once, a smaller one after the hold-off.
/// @param listed All listed instances, sorted.
void setInstances(TeamLimits &limits, const std::vector<InstanceId> &listed, const InstanceId &self,
                  Milliseconds now);

/// @brief This instance's part of a limit; the parts of all instances add up to the limit.
TokenCount shareOfLimit(TeamLimits &limits, TokenCount limit, Milliseconds now);

/// @brief Takes tokens of a team's share. @param limit Of the team over all instances; zero: none.
/// @return False if the share has no room; nothing is taken then.
bool tryAcquireTokens(TeamLimits &limits, const TeamId &team, TokenCount limit, TokenCount tokens,
                Milliseconds now);

/// @brief Gives tokens back that were taken.
void releaseTokens(TeamLimits &limits, const TeamId &team, TokenCount tokens);

} // namespace egretmount::admission
