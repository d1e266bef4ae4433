#include <egretmount/admission/lane_queue.h>

#include <algorithm>

namespace egretmount::admission {

namespace {

// A team that uses no more than its share has at most so many waiting requests, and at most so many
// tokens above the floor.
constexpr std::size_t burstRequests = 2;
constexpr TokenCount burstTokens = 16'000;

TokenCount costOf(const Request &request)
{
    return admission::costOf(request.promptTokens, request.maxTokens);
}

TeamId teamIn(const Lane &lane, const Request &request)
{
    return lane.order == LaneOrder::Arrival ? TeamId() : request.team;
}

// The set that a team is in: `turns` if it has waiting requests, else `idle`.
std::set<std::pair<double, TeamId>> &setOf(Lane &lane, const TeamQueue &team)
{
    return team.requests.empty() ? lane.idle : lane.turns;
}

// A team at the floor is the same as an unknown one, so its row need not be kept.
void forgetIdle(Lane &lane)
{
    while (!lane.idle.empty() && lane.idle.begin()->first <= lane.floor) {
        const auto team = lane.teams.find(lane.idle.begin()->second);
        lane.knownWeight -= team->second.weight;
        lane.teams.erase(team);
        lane.idle.erase(lane.idle.begin());
    }
}

TeamQueue &knownTeam(Lane &lane, const TeamId &id, double weight)
{
    const auto found = lane.teams.find(id);
    if (found != lane.teams.end())
        return found->second;
    TeamQueue &team = lane.teams[id];
    team.weight = weight;
    lane.knownWeight += weight;
    return team;
}

Request takeOut(Lane &lane, const TeamId &id, std::map<QueueKey, Request>::iterator place)
{
    TeamQueue &team = lane.teams.at(id);
    Request request = std::move(place->second);
    team.requests.erase(place);
    team.queuedTokens -= costOf(request);
    lane.queuedTokens -= costOf(request);
    lane.places.erase(request.id);
    return request;
}

} // namespace

void push(Lane &lane, const Request &request, double weight)
{
    const TeamId id = teamIn(lane, request);
    TeamQueue &team = knownTeam(lane, id, weight);
    setOf(lane, team).erase({ team.result, id });
    if (team.requests.empty()) {
        lane.knownWeight += weight - team.weight;
        team.weight = weight;
        team.result = std::max(team.result, lane.floor);
    }
    const bool byArrival = lane.order == LaneOrder::Arrival;
    const Milliseconds urgent =
        byArrival ? Milliseconds() : std::min(request.deadline, request.arrival + ageingLimit);
    const QueueKey key { urgent, ++lane.arrivals };
    team.requests.emplace(key, request);
    lane.turns.insert({ team.result, id });
    team.queuedTokens += costOf(request);
    lane.queuedTokens += costOf(request);
    lane.places[request.id] = { id, key };
}

const Request *front(const Lane &lane)
{
    if (lane.turns.empty())
        return nullptr;
    return &lane.teams.at(lane.turns.begin()->second).requests.begin()->second;
}

bool isFrontWithinShare(const Lane &lane)
{
    const TeamQueue &team = lane.teams.at(lane.turns.begin()->second);
    const Request &request = team.requests.begin()->second;
    const TokenCount tokens = std::max(burstTokens, 2 * costOf(request));
    const double burst = static_cast<double>(tokens) / team.weight;
    return team.requests.size() <= burstRequests && team.result <= lane.floor + burst;
}

Request popFront(Lane &lane)
{
    const TeamId id = lane.turns.begin()->second;
    TeamQueue &team = lane.teams.at(id);
    lane.turns.erase(lane.turns.begin());
    Request request = takeOut(lane, id, team.requests.begin());
    lane.floor = std::max(lane.floor, team.result);
    team.result += static_cast<double>(costOf(request)) / team.weight;
    setOf(lane, team).insert({ team.result, id });
    forgetIdle(lane);
    return request;
}

bool remove(Lane &lane, const RequestId &request)
{
    const auto place = lane.places.find(request);
    if (place == lane.places.end())
        return false;
    const std::pair<TeamId, QueueKey> position = place->second;
    TeamQueue &team = lane.teams.at(position.first);
    lane.turns.erase({ team.result, position.first });
    takeOut(lane, position.first, team.requests.find(position.second));
    setOf(lane, team).insert({ team.result, position.first });
    forgetIdle(lane);
    return true;
}

bool isFull(const Lane &lane, const TeamId &id, std::size_t most)
{
    if (lane.order == LaneOrder::Arrival || lane.size() >= most)
        return lane.size() >= most;
    if (lane.size() < most / 2)
        return false;
    const auto team = lane.teams.find(id);
    const std::size_t own = team == lane.teams.end() ? 0 : team->second.requests.size();
    return own >= most / 2 / (lane.turns.size() + 1);
}

double tokensAhead(const Lane &lane, const Request &request, double weight)
{
    const double all = static_cast<double>(lane.queuedTokens);
    if (lane.order == LaneOrder::Arrival)
        return all;
    const auto team = lane.teams.find(request.team);
    double own = static_cast<double>(costOf(request));
    double othersWeight = lane.knownWeight;
    if (team != lane.teams.end()) {
        // Tokens that the team was served above the floor delay it as queued ones do.
        own += static_cast<double>(team->second.queuedTokens)
               + std::max(0.0, team->second.result - lane.floor) * weight;
        othersWeight -= team->second.weight;
    }
    return std::min(all, own * (1 + othersWeight / weight));
}

} // namespace egretmount::admission
