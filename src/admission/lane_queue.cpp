#include <egretmount/admission/lane_queue.h>

#include <algorithm>

namespace egretmount::admission {

namespace {

TokenCount costOf(const Request &request)
{
    return admission::costOf(request.promptTokens, request.maxTokens);
}

TeamId teamIn(const Lane &lane, const Request &request)
{
    return lane.order == LaneOrder::Arrival ? TeamId() : request.team;
}

void leaveTurns(Lane &lane, const TeamId &id, const TeamQueue &team)
{
    lane.turns.erase({ team.served, id });
    lane.busyWeight = lane.turns.empty() ? 0 : lane.busyWeight - team.weight;
}

void joinTurns(Lane &lane, const TeamId &id, const TeamQueue &team)
{
    lane.turns.insert({ team.served, id });
    lane.busyWeight += team.weight;
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

// A team at the floor is the same as an unknown one, so its row need not be kept.
void forgetIfIdle(Lane &lane, const TeamId &id)
{
    const auto team = lane.teams.find(id);
    if (team->second.requests.empty() && team->second.served <= lane.floor)
        lane.teams.erase(team);
}

} // namespace

void push(Lane &lane, const Request &request, double weight)
{
    const TeamId id = teamIn(lane, request);
    TeamQueue &team = lane.teams[id];
    if (team.requests.empty()) {
        team.weight = weight;
        if (lane.liftsReturning)
            team.served = std::max(team.served, lane.floor);
        joinTurns(lane, id, team);
    }
    const bool byArrival = lane.order == LaneOrder::Arrival;
    const Milliseconds urgent =
        byArrival ? Milliseconds() : std::min(request.deadline, request.arrival + ageingLimit);
    const QueueKey key { urgent, ++lane.arrivals };
    team.requests.emplace(key, request);
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

Request popFront(Lane &lane)
{
    const TeamId id = lane.turns.begin()->second;
    TeamQueue &team = lane.teams.at(id);
    leaveTurns(lane, id, team);
    Request request = takeOut(lane, id, team.requests.begin());
    lane.floor = std::max(lane.floor, team.served);
    team.served += static_cast<double>(costOf(request)) / team.weight;
    if (!team.requests.empty())
        joinTurns(lane, id, team);
    return request;
}

bool remove(Lane &lane, const RequestId &request)
{
    const auto place = lane.places.find(request);
    if (place == lane.places.end())
        return false;
    const std::pair<TeamId, QueueKey> position = place->second;
    TeamQueue &team = lane.teams.at(position.first);
    takeOut(lane, position.first, team.requests.find(position.second));
    if (team.requests.empty()) {
        leaveTurns(lane, position.first, team);
        forgetIfIdle(lane, position.first);
    }
    return true;
}

void charge(Lane &lane, const TeamId &id, TokenCount tokens)
{
    const auto found = lane.teams.find(lane.order == LaneOrder::Arrival ? TeamId() : id);
    if (found == lane.teams.end())
        return;
    TeamQueue &team = found->second;
    const bool isWaiting = !team.requests.empty();
    if (isWaiting)
        lane.turns.erase({ team.served, found->first });
    team.served += static_cast<double>(tokens) / team.weight;
    if (isWaiting)
        lane.turns.insert({ team.served, found->first });
}

double tokensAhead(const Lane &lane, const Request &request, double weight)
{
    const double all = static_cast<double>(lane.queuedTokens);
    if (lane.order == LaneOrder::Arrival)
        return all;
    const auto team = lane.teams.find(request.team);
    const bool isWaiting = team != lane.teams.end() && !team->second.requests.empty();
    double own = static_cast<double>(costOf(request));
    if (isWaiting)
        own += static_cast<double>(team->second.queuedTokens);
    // Tokens that the team was served above the floor delay it as queued ones do.
    if (team != lane.teams.end())
        own += std::max(0.0, team->second.served - lane.floor) * weight;
    const double othersWeight = lane.busyWeight - (isWaiting ? team->second.weight : 0);
    return std::min(all, own * (1 + othersWeight / weight));
}

} // namespace egretmount::admission
