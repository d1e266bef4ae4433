#include <egretmount/admission/lane_queue.h>

#include <algorithm>

namespace egretmount::admission {

namespace {

// A team is within its fair share with at most `maxBurstRequests` queued requests, and a counter at
// most `minBurstTokens`, or twice the cost of its first request if that is more, above the virtual
// time.
constexpr std::size_t maxBurstRequests = 2;
constexpr TokenCount minBurstTokens = 16'000;

TokenCount costOf(const Request &request)
{
    return admission::costOf(request.promptTokens, request.maxTokens);
}

TeamId queueTeamOf(const Lane &lane, const Request &request)
{
    return lane.order == LaneOrder::Arrival ? TeamId() : request.team;
}

// Returns the set that a team is in: `backloggedTeams` if it has queued requests, else `idleTeams`.
std::set<std::pair<double, TeamId>> &teamSetOf(Lane &lane, const TeamQueue &team)
{
    return team.requests.empty() ? lane.idleTeams : lane.backloggedTeams;
}

// Removes idle teams at or below the virtual time. They are equivalent to unknown teams.
void evictIdleTeams(Lane &lane)
{
    while (!lane.idleTeams.empty() && lane.idleTeams.begin()->first <= lane.virtualTime) {
        const auto team = lane.teams.find(lane.idleTeams.begin()->second);
        lane.totalWeight -= team->second.weight;
        lane.teams.erase(team);
        lane.idleTeams.erase(lane.idleTeams.begin());
    }
}

TeamQueue &findOrAddTeam(Lane &lane, const TeamId &id, double weight)
{
    const auto found = lane.teams.find(id);
    if (found != lane.teams.end())
        return found->second;
    TeamQueue &team = lane.teams[id];
    team.weight = weight;
    lane.totalWeight += weight;
    return team;
}

Request extractRequest(Lane &lane, const TeamId &id, std::map<QueueKey, Request>::iterator place)
{
    TeamQueue &team = lane.teams.at(id);
    Request request = std::move(place->second);
    team.requests.erase(place);
    team.queuedTokens -= costOf(request);
    lane.queuedTokens -= costOf(request);
    lane.positions.erase(request.id);
    return request;
}

} // namespace

void push(Lane &lane, const Request &request, double weight)
{
    const TeamId id = queueTeamOf(lane, request);
    TeamQueue &team = findOrAddTeam(lane, id, weight);
    teamSetOf(lane, team).erase({ team.virtualCounter, id });
    if (team.requests.empty()) {
        lane.totalWeight += weight - team.weight;
        team.weight = weight;
        team.virtualCounter = std::max(team.virtualCounter, lane.virtualTime);
    }
    const bool byArrival = lane.order == LaneOrder::Arrival;
    const Milliseconds effectiveDeadline =
        byArrival ? Milliseconds() : std::min(request.deadline, request.arrival + ageingLimit);
    const QueueKey key { effectiveDeadline, ++lane.arrivals };
    team.requests.emplace(key, request);
    lane.backloggedTeams.insert({ team.virtualCounter, id });
    team.queuedTokens += costOf(request);
    lane.queuedTokens += costOf(request);
    lane.positions[request.id] = { id, key };
}

const Request *front(const Lane &lane)
{
    if (lane.backloggedTeams.empty())
        return nullptr;
    return &lane.teams.at(lane.backloggedTeams.begin()->second).requests.begin()->second;
}

bool isFrontWithinShare(const Lane &lane)
{
    const TeamQueue &team = lane.teams.at(lane.backloggedTeams.begin()->second);
    const Request &request = team.requests.begin()->second;
    const TokenCount tokens = std::max(minBurstTokens, 2 * costOf(request));
    const double burst = static_cast<double>(tokens) / team.weight;
    return team.requests.size() <= maxBurstRequests
           && team.virtualCounter <= lane.virtualTime + burst;
}

Request popFront(Lane &lane)
{
    const TeamId id = lane.backloggedTeams.begin()->second;
    TeamQueue &team = lane.teams.at(id);
    lane.backloggedTeams.erase(lane.backloggedTeams.begin());
    Request request = extractRequest(lane, id, team.requests.begin());
    lane.virtualTime = std::max(lane.virtualTime, team.virtualCounter);
    team.virtualCounter += static_cast<double>(costOf(request)) / team.weight;
    teamSetOf(lane, team).insert({ team.virtualCounter, id });
    evictIdleTeams(lane);
    return request;
}

bool remove(Lane &lane, const RequestId &request)
{
    const auto place = lane.positions.find(request);
    if (place == lane.positions.end())
        return false;
    const std::pair<TeamId, QueueKey> position = place->second;
    TeamQueue &team = lane.teams.at(position.first);
    lane.backloggedTeams.erase({ team.virtualCounter, position.first });
    extractRequest(lane, position.first, team.requests.find(position.second));
    teamSetOf(lane, team).insert({ team.virtualCounter, position.first });
    evictIdleTeams(lane);
    return true;
}

bool isFull(const Lane &lane, const TeamId &id, std::size_t maxRequests)
{
    if (lane.order == LaneOrder::Arrival || lane.size() >= maxRequests)
        return lane.size() >= maxRequests;
    if (lane.size() < maxRequests / 2)
        return false;
    const auto team = lane.teams.find(id);
    const std::size_t own = team == lane.teams.end() ? 0 : team->second.requests.size();
    return own >= maxRequests / 2 / (lane.backloggedTeams.size() + 1);
}

double tokensAhead(const Lane &lane, const Request &request, double weight)
{
    const double all = static_cast<double>(lane.queuedTokens);
    if (lane.order == LaneOrder::Arrival)
        return all;
    const auto team = lane.teams.find(request.team);
    double own = static_cast<double>(costOf(request));
    double othersWeight = lane.totalWeight;
    if (team != lane.teams.end()) {
        // Tokens served above the virtual time delay the team as queued ones do.
        own += static_cast<double>(team->second.queuedTokens)
               + std::max(0.0, team->second.virtualCounter - lane.virtualTime) * weight;
        othersWeight -= team->second.weight;
    }
    return std::min(all, own * (1 + othersWeight / weight));
}

} // namespace egretmount::admission
