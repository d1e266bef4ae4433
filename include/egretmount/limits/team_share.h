#pragma once

#include <cstdint>
#include <unordered_map>

namespace egretmount::limits {

/// @brief Identifies a team in messages and tables: the `stableHash` of its id; zero: unknown.
using TeamKey = std::uint64_t;

/// @brief Requests in flight of each team. Requests of unknown teams are not counted.
using TeamLoad = std::unordered_map<TeamKey, double>;

/// @brief Share of the requests in flight that is kept for teams below their fair share.
///
/// At full load all slots are in use, so a team can only grow if others shrink. With a tenth kept
/// free, the largest teams yield first, and a team that returns gets its share back as their
/// requests end.
constexpr double keptShare = 0.1;

/// @brief Adds requests in flight of a team; does nothing for an unknown team.
void addTeamLoad(TeamLoad &load, TeamKey team, double requests);

/// @brief Returns the max-min fair share of a team in requests: teams with less keep what they
///        have, and what they leave unused is shared evenly by the others.
/// @param capacity Requests that all teams together may have in flight.
/// @return The level that no team may exceed; infinite if all teams together stay below `capacity`.
/// @complexity O(n log n) in the teams.
double fairShare(const TeamLoad &load, double capacity);

/// @brief Returns whether a team has more requests in flight than its share, beyond what chance
///        explains.
///
/// The team must exceed its fair share of `1 - keptShare` of the requests in flight, and the mean
/// of all teams by two standard deviations of a Poisson distributed number. A single team, an
/// unknown team and teams with equal load are never over their share.
/// @complexity O(n log n) in the teams.
bool isOverShare(const TeamLoad &load, TeamKey team);

} // namespace egretmount::limits
