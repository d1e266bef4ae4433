#include <egretmount/membership/roster.h>

#include <algorithm>

namespace egretmount::membership {

namespace {

bool isLiving(const RosterMember &member, Milliseconds now)
{
    return now - member.advancedAt < deadAfter;
}

bool isNewer(const RosterEntry &a, const RosterEntry &b)
{
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.beat > b.beat;
}

// One dead member or unknown contact in turn, so that two halves of a split find each other again.
std::vector<std::string> silentHosts(const Roster &roster, Milliseconds now)
{
    std::vector<std::string> hosts;
    for (const std::string &contact : roster.contacts) {
        if (contact != roster.self.host && roster.members.count(contact) == 0)
            hosts.push_back(contact);
    }
    for (const auto &[host, member] : roster.members) {
        if (!isLiving(member, now))
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace

std::vector<std::string> noteDigest(Roster &roster, const std::vector<RosterEntry> &digest,
                                    Milliseconds now)
{
    std::vector<std::string> changedRuns;
    for (const RosterEntry &entry : digest) {
        if (entry.host == roster.self.host) {
            // An earlier run of this instance under a clock that was ahead: outlive it.
            if (entry.incarnation > roster.self.incarnation)
                roster.self.incarnation = entry.incarnation + 1;
            continue;
        }
        const auto [position, isNew] = roster.members.try_emplace(entry.host);
        RosterMember &member = position->second;
        if (!isNew && !isNewer(entry, member.entry))
            continue;
        if (isNew || entry.incarnation != member.entry.incarnation)
            changedRuns.push_back(entry.host);
        const bool keepsLeaving =
            !isNew && entry.incarnation == member.entry.incarnation && member.entry.isLeaving;
        member.entry = entry;
        member.entry.isLeaving = entry.isLeaving || keepsLeaving;
        member.advancedAt = now;
    }
    return changedRuns;
}

std::vector<RosterEntry> makeDigest(Roster &roster, Milliseconds now)
{
    ++roster.self.beat;
    std::vector<RosterEntry> digest { roster.self };
    std::vector<const RosterMember *> living;
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member, now))
            living.push_back(&member);
    }
    const std::size_t count = std::min(living.size(), maxDigestEntries - 1);
    const std::size_t first = living.empty() ? 0 : roster.self.beat * count % living.size();
    for (std::size_t i = 0; i < count; ++i)
        digest.push_back(living[(first + i) % living.size()]->entry);
    return digest;
}

std::vector<std::string> digestReceivers(const Roster &roster, Milliseconds now, std::uint64_t draw)
{
    std::vector<std::string> living;
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member, now))
            living.push_back(host);
    }
    std::vector<std::string> receivers;
    const std::size_t count = std::min(living.size(), digestFanout);
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t pick = i + (draw >> (6 * i)) % (living.size() - i);
        std::swap(living[i], living[pick]);
        receivers.push_back(living[i]);
    }
    const std::vector<std::string> silent = silentHosts(roster, now);
    const std::size_t extra =
        living.empty() ? silent.size() : std::min<std::size_t>(silent.size(), 2);
    for (std::size_t i = 0; i < extra; ++i)
        receivers.push_back(silent[(roster.self.beat * extra + i) % silent.size()]);
    return receivers;
}

bool isServing(const RosterMember &member, Milliseconds now)
{
    return isLiving(member, now) && !member.entry.isLeaving;
}

std::vector<std::string> servingHosts(const Roster &roster, Milliseconds now)
{
    std::vector<std::string> hosts;
    if (!roster.self.isLeaving)
        hosts.push_back(roster.self.host);
    for (const auto &[host, member] : roster.members) {
        if (isServing(member, now))
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<std::string> livingHosts(const Roster &roster, Milliseconds now)
{
    std::vector<std::string> hosts { roster.self.host };
    for (const auto &[host, member] : roster.members) {
        if (isLiving(member, now))
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

void forgetDead(Roster &roster, Milliseconds now)
{
    for (auto position = roster.members.begin(); position != roster.members.end();) {
        if (now - position->second.advancedAt >= forgetAfter)
            position = roster.members.erase(position);
        else
            ++position;
    }
}

} // namespace egretmount::membership
