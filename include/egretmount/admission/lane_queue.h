#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <egretmount/core/request.h>

namespace egretmount::admission {

/// @brief In which order a lane gives requests out.
enum class LaneOrder {
    Arrival, ///< First in, first out; teams are not told apart.
    FairDeadline, ///< Teams by their weighted token counters, inside a team the earliest deadline.
};

/// @brief A request is treated as if its deadline were no later than this after its arrival, so
/// that
///        a stream of urgent requests cannot starve it.
constexpr Milliseconds ageingLimit = Milliseconds(5'000);

/// @brief Tokens that one generated token counts for, as it costs an engine more than a prompt's.
constexpr TokenCount outputTokenWeight = 2;

/// @brief What a request costs in the counters of its team. @complexity Constant.
constexpr TokenCount costOf(TokenCount promptTokens, TokenCount maxTokens)
{
    return promptTokens + outputTokenWeight * maxTokens;
}

/// @brief Place of a request among those of its team: the urgent time, then the order of arrival.
using QueueKey = std::pair<Milliseconds, std::uint64_t>;

/// @brief The waiting requests of one team, and its virtual token counter.
struct TeamQueue
{
    double virtualCounter = 0; ///< Tokens served, over the weight.
    double weight = 1;
    TokenCount queuedTokens = 0;
    std::map<QueueKey, Request> requests;
};

/// @brief The waiting requests of one length class.
///
/// A virtual token counter (VTC) per team decides whose turn it is. A team that returns is lifted
/// to `virtualTime`, so that it saves up nothing while it is away.
struct Lane
{
    LaneOrder order = LaneOrder::FairDeadline;
    std::map<TeamId, TeamQueue> teams;
    std::set<std::pair<double, TeamId>> backloggedTeams; ///< Teams with waiting requests.
    std::set<std::pair<double, TeamId>> idleTeams; ///< Other teams above the floor.
    std::unordered_map<RequestId, std::pair<TeamId, QueueKey>> positions;
    double virtualTime = 0; ///< Counter of the team served last, before it was charged.
    double totalWeight = 0; ///< Sum of the weights of `teams`.
    TokenCount queuedTokens = 0;
    std::uint64_t arrivals = 0;

    bool isEmpty() const { return positions.empty(); }
    std::size_t size() const { return positions.size(); }
};

/// @brief Puts a request into its lane. @param weight Share of its team; above zero.
/// @complexity Logarithmic in the teams and in the requests of the team.
void push(Lane &lane, const Request &request, double weight);

/// @brief The request whose turn it is. @return Null if the lane is empty. @complexity Logarithmic.
const Request *front(const Lane &lane);

/// @brief True if the team of the first request uses no more than its share.
/// @pre The lane is not empty.
bool isFrontWithinShare(const Lane &lane);

/// @brief Takes the first request out and charges its team. @pre The lane is not empty.
/// @complexity Logarithmic.
Request popFront(Lane &lane);

/// @brief Takes a request out without charging its team. @return False if it is not there.
bool remove(Lane &lane, const RequestId &id);

/// @brief True if a lane has no place for another request of a team.
///
/// The places are divided evenly over the waiting teams once the lane is half full, so that the
/// requests of one team cannot keep out those of another.
/// @param most Requests that the lane holds.
bool isFull(const Lane &lane, const TeamId &team, std::size_t maxRequests);

/// @brief Tokens that are served before a new request of a team, at most.
///
/// Fair turns serve a light team soon, so only what the other teams get meanwhile counts. Teams
/// that were served lately are taken to come back.
double tokensAhead(const Lane &lane, const Request &request, double weight);

} // namespace egretmount::admission
