#include <egretmount/placement/short_admission.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace egretmount::placement {

namespace {

// Requests are not refused while a smaller share of the slots is in use.
constexpr double minUsedShare = 0.5;
// Share of the capacity for late requests while those that can be in time need all of it. A late
// response is worth a quarter of one in time and takes a slot as long, so it is kept small.
constexpr double lateCapacityShare = 0.1;
// The caller may leave earlier than expected, because the estimate is off by about a fifth.
constexpr double clientTimeoutShare = 0.9;
// A few urgent requests of one team would otherwise make the requests of all others less urgent.
constexpr double minRankShare = 0.05;
constexpr Milliseconds shortestPoll = Milliseconds(20);
constexpr Milliseconds longestPoll = Milliseconds(50);
// Shorter delays would bring the callers back to the same load.
constexpr double minReturnSpreadMs = 400;
constexpr Milliseconds minReturnDelay = Milliseconds(50);

double milliseconds(Milliseconds time)
{
    return static_cast<double>(time.count());
}

// Returns a number in [0, 1) from the upper half of the bits. `drawnDistance` uses only the lowest
// bits, and `deferralPoll` a remainder modulo 31, which says almost nothing about the upper half.
double fractionOf(std::uint64_t randomBits)
{
    constexpr unsigned lowerBits = 32;
    return static_cast<double>(randomBits >> lowerBits) / 4'294'967'296.0;
}

// Requests whose primary engine is the same one.
struct PrimaryRequests
{
    double ofFleet = 0; // all instances know of them
    double ofCell = 0; // only the own cell knows of them
};

PrimaryRequests primaryRequests(const LoadTracker &tracker, EngineKey engine,
                                const EngineState &state, double endShare)
{
    PrimaryRequests requests;
    for (const std::uint64_t id : state.requestIds) {
        const InFlightRequest &request = tracker.inFlight.at(id);
        if (request.engines.front() != engine)
            continue;
        const bool mayHaveEnded = request.isDecoding && request.owner != tracker.self;
        (request.isCellLocal ? requests.ofCell : requests.ofFleet) +=
            mayHaveEnded ? 1 - endShare : 1;
    }
    return requests;
}

// Slots per second that remain for deferred requests.
double drainPerSecond(const SlotLoad &load)
{
    return std::max({ load.releasesPerSecond - load.arrivalsPerSecond,
                      load.releasesPerSecond * lateCapacityShare, 0.001 });
}

// Returns the free slots that are left to the requests that arrive until the next decision.
double freeBeyondArrivals(const SlotLoad &load, double shareOfArrivals)
{
    return load.slots - load.used
           - load.arrivalsPerSecond * shareOfArrivals * milliseconds(longestPoll) / 1'000;
}

// Deferred requests go in the order of their arrival. The share of them that has waited longer is
// estimated from the request's own wait.
bool isTurnOfDeferred(const ShortRequest &request, const SlotLoad &load)
{
    const double leftShare =
        1 - milliseconds(request.waited) / std::max(milliseconds(maxDeferral(request)), 1.0);
    return freeBeyondArrivals(load, 1) > std::max(leftShare, 0.0) * load.deferredAhead;
}

bool hasRoomBesideUrgent(const ShortRequest &request, const SlotLoad &load)
{
    return request.distance == 0 || load.moreUrgentShare <= 0
           || freeBeyondArrivals(load, load.moreUrgentShare) > 0;
}

} // namespace

Competition competitionFor(const LoadTracker &tracker, const std::vector<EngineKey> &engines,
                           bool isShort)
{
    Competition competition;
    for (const auto &[id, request] : tracker.inFlight) {
        if (request.isShort != isShort
            || !std::binary_search(engines.begin(), engines.end(), request.engines.front()))
            continue;
        competition.requests.push_back(&request);
        limits::addTeamLoad(competition.teams, request.team, 1);
    }
    return competition;
}

int effectiveRank(const Competition &competition, int rank, limits::TeamKey team, bool usesTeams)
{
    return rank + (usesTeams && limits::isOverShare(competition.teams, team) ? 1 : 0);
}

int rankDistance(const Competition &competition, int effectiveRank)
{
    std::map<int, double> requestsByRank;
    double known = 0;
    for (const InFlightRequest *request : competition.requests) {
        if (request->rank == unknownRank)
            continue;
        ++requestsByRank[request->rank];
        ++known;
    }
    const auto mostUrgent =
        std::find_if(requestsByRank.begin(), requestsByRank.end(),
                     [&](const auto &entry) { return entry.second >= minRankShare * known; });
    if (mostUrgent == requestsByRank.end())
        return 0;
    return std::clamp(effectiveRank - mostUrgent->first, 0, maxRankDistance);
}

int drawnDistance(int distance, std::uint64_t randomBits)
{
    int drawn = distance;
    while (drawn > 0 && (randomBits & 1U) != 0) {
        --drawn;
        randomBits >>= 1U;
    }
    return drawn;
}

double moreUrgentShare(const Competition &competition, int rank, int effectiveRank,
                       limits::TeamKey team)
{
    if (competition.requests.empty())
        return 0;
    const std::ptrdiff_t urgent =
        std::count_if(competition.requests.begin(), competition.requests.end(),
                      [&](const InFlightRequest *request) {
                          const bool isOwnTeam = team != 0 && request->team == team;
                          return request->rank != unknownRank
                                 && request->rank < (isOwnTeam ? rank : effectiveRank);
                      });
    return static_cast<double>(urgent) / static_cast<double>(competition.requests.size());
}

double relativeWeight(const Competition &competition, int effectiveRank)
{
    std::vector<std::pair<int, double>> prefillByRank;
    double all = 0;
    for (const InFlightRequest *request : competition.requests) {
        if (request->rank == unknownRank)
            continue;
        const double prefillMs =
            request->shardPrefillMs * static_cast<double>(request->engines.size());
        prefillByRank.emplace_back(request->rank, prefillMs);
        all += prefillMs;
    }
    std::sort(prefillByRank.begin(), prefillByRank.end());
    double sum = 0;
    int median = effectiveRank;
    for (const auto &[rank, prefillMs] : prefillByRank) {
        median = rank;
        sum += prefillMs;
        if (sum * 2 >= all)
            break;
    }
    return std::exp2(std::clamp(median - effectiveRank, -maxRankDistance, maxRankDistance));
}

double statedDeferred(const std::map<std::string, DeferredStatement> &statements,
                      const std::vector<InstanceId> &members, Milliseconds now)
{
    double sum = 0;
    for (const InstanceId &member : members) {
        const auto found = statements.find(member.value);
        if (found != statements.end() && now - found->second.statedAt < deferredStatementLifetime)
            sum += found->second.requests;
    }
    return sum;
}

double estimateDeferred(const DeferredCounts &own, int distance, double stated, int cells)
{
    return std::accumulate(own.begin(), own.begin() + distance + 1, stated * cells);
}

double requestsAtPrimary(const LoadTracker &tracker, EngineKey engine, double endShare,
                         Milliseconds now)
{
    const auto found = tracker.engines.find(engine);
    if (found == tracker.engines.end())
        return 0;
    const PrimaryRequests requests = primaryRequests(tracker, engine, found->second, endShare);
    return requests.ofFleet + requests.ofCell + untrackedRequests(found->second, now);
}

SlotUse usedSlots(const LoadTracker &tracker, const SlotQuestion &question, Milliseconds now)
{
    SlotUse use;
    for (const EngineKey engine : question.engines) {
        const auto found = tracker.engines.find(engine);
        if (found == tracker.engines.end())
            continue;
        const PrimaryRequests requests =
            primaryRequests(tracker, engine, found->second, question.endShare);
        // With several cells, untracked requests are mostly those of the other cells, which the
        // requests of the own cell stand for.
        const double untracked = question.cells == 1 ? untrackedRequests(found->second, now) : 0;
        const double known = requests.ofFleet + requests.ofCell + untracked;
        if (known <= 0)
            continue;
        const double all = requests.ofFleet + requests.ofCell * question.cells + untracked;
        const double holdingShare = std::min(1.0, question.slotsPerEngine / known);
        use.used += all * holdingShare;
        use.waiting += all * (1 - holdingShare);
    }
    const double slots = question.slotsPerEngine * static_cast<double>(question.engines.size());
    use.waiting += std::max(0.0, use.used - slots);
    use.used = std::min(use.used, slots);
    return use;
}

bool isUnderused(const SlotLoad &load)
{
    return load.used < minUsedShare * load.slots && load.waiting <= 0;
}

Milliseconds maxDeferral(const ShortRequest &request)
{
    return request.clientTimeout / 2;
}

Milliseconds deferralPoll(const ShortRequest &request)
{
    const std::uint64_t range =
        static_cast<std::uint64_t>((longestPoll - shortestPoll).count()) + 1;
    constexpr unsigned bitsOfDraw = 8;
    return shortestPoll
           + Milliseconds(static_cast<std::int64_t>((request.randomBits >> bitsOfDraw) % range));
}

bool remainsDeferred(const ShortRequest &request, const SlotLoad &load)
{
    return request.isDeferred && load.slots > 0 && !isUnderused(load)
           && request.waited < maxDeferral(request)
           && (load.used >= load.slots
               || (request.waited >= request.latencyTarget && !isTurnOfDeferred(request, load)));
}

ShortDecision decideShort(const ShortRequest &request, const SlotLoad &load)
{
    if (isUnderused(load))
        return {};
    const double waitMs = load.deferredAhead / drainPerSecond(load) * 1'000;
    const double firstEventMs = milliseconds(request.waited) + request.firstEventMs;
    if (request.waited >= maxDeferral(request)) {
        const bool isTooLate =
            firstEventMs > clientTimeoutShare * milliseconds(request.clientTimeout);
        if (!isTooLate)
            return { ShortOutcome::Place, {}, waitMs };
        return { ShortOutcome::Refuse, returnDelay(request, load), waitMs };
    }
    const bool isInTime = firstEventMs <= milliseconds(request.latencyTarget);
    if (isInTime ? hasRoomBesideUrgent(request, load)
                 : request.isSlotFree && isTurnOfDeferred(request, load))
        return { ShortOutcome::Place, {}, waitMs };
    if (!request.isDeferred && waitMs > milliseconds(maxDeferral(request)))
        return { ShortOutcome::Refuse, returnDelay(request, load), waitMs };
    return { ShortOutcome::Defer, deferralPoll(request), waitMs };
}

Milliseconds returnDelay(const ShortRequest &request, const SlotLoad &load)
{
    const double waiting = load.waiting + load.deferredAhead;
    const double drainMs = waiting / drainPerSecond(load) * 1'000;
    const double most = milliseconds(request.timeLeft) / 3;
    const double spreadMs = std::min(std::max(drainMs, minReturnSpreadMs), most);
    const double start = spreadMs * request.distance / (request.distance + 1);
    const Milliseconds delay(
        static_cast<std::int64_t>(start + (spreadMs - start) * fractionOf(request.randomBits)));
    return std::max(delay, std::min(minReturnDelay, Milliseconds(static_cast<std::int64_t>(most))));
}

} // namespace egretmount::placement
