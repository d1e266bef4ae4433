#include <egretmount/membership/roster.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include <egretmount/core/hash.h>

namespace egretmount::membership {

namespace {

// Claims from which on a watcher counts as in question itself. One is not enough: an instance that
// is cut off claims all that it watches.
constexpr std::size_t disputedFrom = 2;

// What is remembered of silence belongs to one version of a run.
void forgetSilence(RosterMember &member)
{
    member.isUnheard = false;
    member.silentSince = Milliseconds(0);
    member.claims.clear();
}

bool isNewer(const RosterEntry &a, const RosterEntry &b)
{
    return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}

bool isSameVersion(const RosterEntry &entry, const SilenceClaim &claim)
{
    return entry.incarnation == claim.incarnation && entry.version == claim.version;
}

using Ring = std::vector<std::string_view>;

// The living instances, this one included, in the order of the ring.
Ring ring(const Roster &roster)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> places;
    places.reserve(roster.members.size() + 1);
    places.emplace_back(stableHash(roster.self.host), roster.self.host);
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member))
            places.emplace_back(stableHash(host), host);
    }
    std::sort(places.begin(), places.end());
    Ring hosts;
    hosts.reserve(places.size());
    for (const auto &[place, host] : places)
        hosts.push_back(host);
    return hosts;
}

// Neighbours of this instance in the ring: those after it watch it, those before it are watched.
std::vector<std::string> neighbours(const Roster &roster, bool areAfter)
{
    const Ring hosts = ring(roster);
    const std::size_t own = static_cast<std::size_t>(
        std::find(hosts.begin(), hosts.end(), roster.self.host) - hosts.begin());
    const std::size_t count = std::min(watcherCount, hosts.size() - 1);
    std::vector<std::string> found;
    for (std::size_t step = 1; step <= count; ++step) {
        const std::size_t distance = areAfter ? step : hosts.size() - step;
        found.emplace_back(hosts[(own + distance) % hosts.size()]);
    }
    return found;
}

// A thawed or starved instance has not listened: the silence that it sees is its own.
void excuseOwnPause(Roster &roster, Milliseconds now)
{
    const Milliseconds pause = now - roster.judgedAt;
    if (roster.judgedAt == Milliseconds(0) || pause < beatInterval + beatInterval)
        return;
    for (auto &[host, member] : roster.members)
        member.heardAt = std::min(now, member.heardAt + pause);
}

void watchNeighbours(Roster &roster, Milliseconds now)
{
    const std::vector<std::string> watched = neighbours(roster, false);
    const std::set<std::string> hosts(watched.begin(), watched.end());
    for (auto &[host, member] : roster.members) {
        const bool isWatched = hosts.count(host) != 0;
        if (isWatched && !member.isWatched)
            member.heardAt = now;
        member.isWatched = isWatched;
    }
}

// What decides over one member.
struct Verdict
{
    std::size_t claims = 0;
    std::size_t needed = 0; // most of its watchers that are not in question themselves
};

std::size_t claimsOf(const Roster &roster, std::string_view host)
{
    const auto position = roster.members.find(host);
    return position == roster.members.end() ? 0 : position->second.claims.size();
}

Verdict verdictOn(const Roster &roster, const Ring &hosts, std::size_t place)
{
    const std::size_t claims = claimsOf(roster, hosts[place]);
    if (claims == 0)
        return { 0, 1 };
    const std::size_t watchers = std::min(watcherCount, hosts.size() - 1);
    std::size_t undisputed = 0;
    for (std::size_t step = 1; step <= watchers; ++step) {
        const std::string_view watcher = hosts[(place + step) % hosts.size()];
        undisputed += claimsOf(roster, watcher) < disputedFrom ? 1 : 0;
    }
    return { claims, std::max<std::size_t>(1, (undisputed + 1) / 2) };
}

void expireClaims(Roster &roster, Milliseconds now)
{
    for (auto &[host, member] : roster.members) {
        for (auto position = member.claims.begin(); position != member.claims.end();) {
            if (now - position->second >= claimLife)
                position = member.claims.erase(position);
            else
                ++position;
        }
    }
}

void dropLost(Roster &roster, Milliseconds now)
{
    expireClaims(roster, now);
    const bool isAnyClaimed =
        std::any_of(roster.members.begin(), roster.members.end(),
                    [](const auto &member) { return !member.second.claims.empty(); });
    if (!isAnyClaimed)
        return;
    const Ring hosts = ring(roster);
    std::vector<std::string> lost;
    for (std::size_t place = 0; place < hosts.size(); ++place) {
        const Verdict verdict = verdictOn(roster, hosts, place);
        if (verdict.claims >= verdict.needed)
            lost.emplace_back(hosts[place]);
    }
    for (const std::string &host : lost) {
        RosterMember &member = roster.members.at(host);
        member.entry.isLost = true;
        member.changedAt = now;
        member.claims.clear();
    }
}

// Entries that have changed lately, or those that have not.
std::vector<const RosterEntry *> entriesByAge(const Roster &roster, Milliseconds now,
                                              bool areRecent)
{
    std::vector<const RosterEntry *> found;
    for (const auto &[host, member] : roster.members) {
        if ((now - member.changedAt < changePassedOn) == areRecent)
            found.push_back(&member.entry);
    }
    return found;
}

void appendInTurn(std::vector<RosterEntry> &entries, const std::vector<const RosterEntry *> &from,
                  std::size_t most, std::uint64_t turn)
{
    const std::size_t count = std::min(from.size(), most);
    for (std::size_t i = 0; i < count; ++i)
        entries.push_back(*from[(turn * count + i) % from.size()]);
}

std::vector<std::string> silentHosts(const Roster &roster)
{
    std::vector<std::string> hosts;
    for (const std::string &contact : roster.contacts) {
        if (contact != roster.self.host && roster.members.count(contact) == 0)
            hosts.push_back(contact);
    }
    for (const auto &[host, member] : roster.members) {
        if (!isLiving(member))
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace

bool isLiving(const RosterMember &member)
{
    return !member.entry.isLost && !member.isUnheard;
}

std::vector<std::string> noteEntries(Roster &roster, const std::vector<RosterEntry> &entries,
                                     Milliseconds now)
{
    std::vector<std::string> changedRuns;
    for (const RosterEntry &entry : entries) {
        if (entry.host == roster.self.host) {
            // An earlier run of this instance under a clock that was ahead: outlive it.
            if (entry.incarnation > roster.self.incarnation)
                roster.self.incarnation = entry.incarnation + 1;
            continue;
        }
        const auto [position, isNew] = roster.members.try_emplace(entry.host);
        RosterMember &member = position->second;
        if (!isNew && !isNewer(entry, member.entry)) {
            // Whoever joins late has missed the claims; anyone else has counted them itself.
            const bool isSame = !isNewer(member.entry, entry);
            if (isSame && entry.isLost && now - member.learntAt < changePassedOn)
                member.entry.isLost = true;
            continue;
        }
        const bool isNewRun = isNew || entry.incarnation != member.entry.incarnation;
        if (isNewRun) {
            member.learntAt = now;
            if (!entry.isLost)
                changedRuns.push_back(entry.host);
        }
        const bool keepsLeaving = !isNewRun && member.entry.isLeaving;
        member.entry = entry;
        member.entry.isLeaving = entry.isLeaving || keepsLeaving;
        member.changedAt = now;
        member.heardAt = now;
        forgetSilence(member);
    }
    return changedRuns;
}

bool noteHeard(Roster &roster, const std::string &host, Incarnation incarnation, Milliseconds now)
{
    const auto position = roster.members.find(host);
    if (position == roster.members.end() || position->second.entry.incarnation != incarnation)
        return true;
    RosterMember &member = position->second;
    member.heardAt = now;
    member.isUnheard = false;
    member.silentSince = Milliseconds(0);
    member.claims.erase(roster.self.host);
    return !member.entry.isLost;
}

ClaimAnswer noteClaims(Roster &roster, const std::string &watcher,
                       const std::vector<SilenceClaim> &claims, Milliseconds now)
{
    ClaimAnswer answer = ClaimAnswer::Nobody;
    bool isClaimed = false;
    for (const SilenceClaim &claim : claims) {
        if (claim.host == roster.self.host) {
            answer = ClaimAnswer::Claimant;
            if (isSameVersion(roster.self, claim)) {
                ++roster.self.version;
                answer = ClaimAnswer::Everyone;
            }
            continue;
        }
        const auto position = roster.members.find(claim.host);
        if (position == roster.members.end() || !isSameVersion(position->second.entry, claim)
            || !isLiving(position->second))
            continue;
        position->second.claims[watcher] = now;
        isClaimed = true;
    }
    if (isClaimed)
        dropLost(roster, now);
    return answer;
}

std::vector<SilenceClaim> judgeSilence(Roster &roster, Milliseconds now)
{
    excuseOwnPause(roster, now);
    roster.judgedAt = now;
    watchNeighbours(roster, now);
    std::vector<SilenceClaim> own;
    for (auto &[host, member] : roster.members) {
        const Milliseconds silence = now - member.heardAt;
        if (member.isWatched && isLiving(member) && silence >= silentAfter) {
            if (member.silentSince == Milliseconds(0))
                member.silentSince = now;
            member.claims[roster.self.host] = now;
            member.isUnheard = silence >= unheardAfter;
        }
        if (member.silentSince != Milliseconds(0) && now - member.silentSince < claimRepeated)
            own.push_back(claimOf(roster, host));
    }
    dropLost(roster, now);
    return own;
}

SilenceClaim claimOf(const Roster &roster, const std::string &host)
{
    const RosterEntry &entry = roster.members.at(host).entry;
    return { entry.host, entry.incarnation, entry.version };
}

std::vector<RosterEntry> makeBeat(Roster &roster, Milliseconds now)
{
    std::vector<RosterEntry> entries { roster.self };
    appendInTurn(entries, entriesByAge(roster, now, true), maxDigestEntries - 1, roster.rounds);
    ++roster.rounds;
    return entries;
}

std::vector<RosterEntry> makeDigest(Roster &roster, Milliseconds now)
{
    std::vector<RosterEntry> entries = makeBeat(roster, now);
    const std::size_t room = std::min(maxDigestEntries - entries.size(), quietDigestEntries);
    appendInTurn(entries, entriesByAge(roster, now, false), room, roster.rounds);
    return entries;
}

std::vector<std::string> ownWatchers(const Roster &roster)
{
    return neighbours(roster, true);
}

std::vector<std::string> digestReceivers(const Roster &roster, std::uint64_t draw)
{
    std::vector<std::string> receivers;
    std::vector<std::string> living = livingHosts(roster);
    living.erase(std::find(living.begin(), living.end(), roster.self.host));
    if (!living.empty())
        receivers.push_back(living[draw % living.size()]);
    const std::vector<std::string> silent = silentHosts(roster);
    const std::size_t extra =
        living.empty() ? silent.size() : std::min<std::size_t>(silent.size(), 2);
    for (std::size_t i = 0; i < extra; ++i)
        receivers.push_back(silent[(roster.rounds * extra + i) % silent.size()]);
    return receivers;
}

std::vector<std::string> servingHosts(const Roster &roster)
{
    std::vector<std::string> hosts;
    if (!roster.self.isLeaving)
        hosts.push_back(roster.self.host);
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member) && !member.entry.isLeaving)
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<std::string> livingHosts(const Roster &roster)
{
    std::vector<std::string> hosts { roster.self.host };
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member))
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

void forgetLost(Roster &roster, Milliseconds now)
{
    for (auto position = roster.members.begin(); position != roster.members.end();) {
        const RosterMember &member = position->second;
        if (!isLiving(member) && now - std::max(member.changedAt, member.heardAt) >= forgetAfter)
            position = roster.members.erase(position);
        else
            ++position;
    }
}

} // namespace egretmount::membership
