#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <egretmount/core/request.h>

namespace egretmount::admission {

/// @brief The order in which requests leave a lane.
enum class LaneOrder {
    Arrival, ///< First in, first out, regardless of the team.
    FairDeadline, ///< Fair queueing of teams; earliest deadline first in a team.
};

/// @brief Upper bound on the time from arrival to deadline that is used to order requests, so that
///        a stream of urgent requests cannot starve others.
constexpr Milliseconds ageingLimit = Milliseconds(5'000);

/// @brief Cost of an output token in prompt tokens. It costs an engine more than a prompt token.
constexpr TokenCount outputTokenWeight = 2;

/// @brief Returns the cost of a request in prompt tokens. @complexity Constant.
constexpr TokenCount costOf(TokenCount promptTokens, TokenCount maxTokens)
{
    return promptTokens + outputTokenWeight * maxTokens;
}

/// @brief Sort key of a request in the queue of its team: effective deadline, then arrival number.
using QueueKey = std::pair<Milliseconds, std::uint64_t>;

/// @brief The queued requests of one team and its virtual token counter.
struct TeamQueue
{
    double virtualCounter = 0; ///< Cost of the requests served, divided by the weight.
    double weight = 1;
    TokenCount queuedTokens = 0; ///< Cost of `requests`.
    std::map<QueueKey, Request> requests;
};

/// @brief The queued requests of one length class, ordered by weighted fair queueing.
///
/// The team with the lowest virtual token counter (VTC) is served next. When an idle team queues a
/// request again, its counter is raised to `virtualTime`, so that it gains no credit by being idle.
struct Lane
{
    LaneOrder order = LaneOrder::FairDeadline;
    std::map<TeamId, TeamQueue> teams;
    std::set<std::pair<double, TeamId>> backloggedTeams; ///< Teams with queued requests.
    std::set<std::pair<double, TeamId>> idleTeams; ///< Other teams above `virtualTime`.
    std::unordered_map<RequestId, std::pair<TeamId, QueueKey>> positions;
    double virtualTime = 0; ///< Highest counter of a served team, before its charge.
    double totalWeight = 0; ///< Sum of the weights of `teams`.
    TokenCount queuedTokens = 0; ///< Cost of all queued requests.
    std::uint64_t arrivals = 0;

    bool isEmpty() const { return positions.empty(); }
    std::size_t size() const { return positions.size(); }
};

/// @brief Adds a request to its lane.
/// @param weight Weight of its team; above zero.
/// @complexity Logarithmic in the teams and in the requests of the team.
void push(Lane &lane, const Request &request, double weight);

/// @brief Returns the request to serve next, or null if the lane is empty. @complexity Logarithmic.
const Request *front(const Lane &lane);

/// @brief Returns true if the team of the first request uses no more than its fair share.
/// @pre The lane is not empty.
bool isFrontWithinShare(const Lane &lane);

/// @brief Removes the first request and charges its team for it.
/// @pre The lane is not empty.
/// @complexity Logarithmic.
Request popFront(Lane &lane);

/// @brief Removes a request without charging its team.
/// @return False if the request is not in the lane.
bool remove(Lane &lane, const RequestId &id);

/// @brief Returns true if a lane has no room for another request of a team.
///
/// Once the lane is half full, half of its capacity is divided evenly among the teams with queued
/// requests and one more, so that one team cannot keep out the requests of others.
/// @param maxRequests Capacity of the lane.
bool isFull(const Lane &lane, const TeamId &team, std::size_t maxRequests);

/// @brief Returns an upper bound on the cost of the requests served before a new request of a team.
///
/// Fair queueing serves a team with few requests soon. Of the other teams' requests, only those
/// that are served until then count. Teams that were served recently are assumed to return.
double tokensAhead(const Lane &lane, const Request &request, double weight);

} // namespace egretmount::admission
