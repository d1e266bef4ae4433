#include <doctest/doctest.h>

#include <map>
#include <random>

#include <egretmount/membership/roster.h>

using namespace egretmount;
using namespace egretmount::literals;
using membership::Roster;

namespace {

Roster rosterOf(const std::string &host, std::vector<std::string> contacts = {})
{
    Roster made;
    made.self.host = host;
    made.self.incarnation = 1;
    made.contacts = std::move(contacts);
    return made;
}

std::string hostAt(std::size_t index)
{
    return "10.0.0." + std::to_string(index);
}

// Instances that exchange datagrams over a network without delay.
struct Network
{
    std::vector<Roster> rosters;
    std::vector<bool> isRunning;
    std::vector<int> side; // instances of different sides do not reach each other
    std::map<std::string, std::size_t> index;
    std::mt19937_64 random { 7 };
    std::size_t messages = 0;
    std::size_t entries = 0;
    double lossShare = 0;
    Milliseconds now = 10'000_ms;

    explicit Network(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add({ hostAt(0), hostAt(1), hostAt(2) });
    }

    // Instances that know each other already.
    static Network introduced(std::size_t count)
    {
        Network network(count);
        std::vector<membership::RosterEntry> all;
        for (const Roster &roster : network.rosters)
            all.push_back(roster.self);
        for (Roster &roster : network.rosters)
            membership::noteEntries(roster, all, network.now);
        return network;
    }

    void add(std::vector<std::string> contacts)
    {
        const std::string host = hostAt(rosters.size());
        index[host] = rosters.size();
        rosters.push_back(rosterOf(host, std::move(contacts)));
        isRunning.push_back(true);
        side.push_back(0);
    }

    void restart(std::size_t i, Incarnation incarnation)
    {
        rosters[i] = rosterOf(hostAt(i), { hostAt(0), hostAt(1), hostAt(2) });
        rosters[i].self.incarnation = incarnation;
        isRunning[i] = true;
    }

    bool isDelivered(std::size_t from, std::size_t to)
    {
        ++messages;
        const double draw = std::uniform_real_distribution<double>()(random);
        return isRunning[to] && side[from] == side[to] && draw >= lossShare;
    }

    void sendEntries(std::size_t from, const std::vector<std::string> &hosts,
                     const std::vector<membership::RosterEntry> &sent)
    {
        for (const std::string &host : hosts) {
            if (index.count(host) == 0)
                continue; // a stale contact
            const std::size_t to = index.at(host);
            entries += sent.size();
            if (to == from || !isDelivered(from, to))
                continue;
            const std::vector<std::string> changed =
                membership::noteEntries(rosters[to], sent, now);
            noteHeard(from, to);
            if (!changed.empty())
                sendEntries(to, changed, membership::makeDigest(rosters[to], now));
        }
    }

    void noteHeard(std::size_t from, std::size_t to)
    {
        const membership::RosterEntry &sender = rosters[from].self;
        if (!membership::noteHeard(rosters[to], sender.host, sender.incarnation, now))
            sendClaims(to, { sender.host }, { membership::claimOf(rosters[to], sender.host) });
    }

    void sendClaims(std::size_t from, const std::vector<std::string> &hosts,
                    const std::vector<membership::SilenceClaim> &claims)
    {
        for (const std::string &host : hosts) {
            if (index.count(host) == 0)
                continue; // a stale contact
            const std::size_t to = index.at(host);
            if (to == from || !isDelivered(from, to))
                continue;
            switch (membership::noteClaims(rosters[to], hostAt(from), claims, now)) {
            case membership::ClaimAnswer::Nobody:
                break;
            case membership::ClaimAnswer::Claimant:
                sendEntries(to, { hostAt(from) }, { rosters[to].self });
                break;
            case membership::ClaimAnswer::Everyone:
                sendEntries(to, membership::livingHosts(rosters[to]), { rosters[to].self });
                sendEntries(to, { hostAt(from) }, { rosters[to].self });
                break;
            }
            noteHeard(from, to);
        }
    }

    void round()
    {
        now += membership::beatInterval;
        for (std::size_t i = 0; i < rosters.size(); ++i) {
            if (!isRunning[i])
                continue;
            const std::vector<membership::SilenceClaim> claims =
                membership::judgeSilence(rosters[i], now);
            if (!claims.empty())
                sendClaims(i, membership::livingHosts(rosters[i]), claims);
            sendEntries(i, membership::ownWatchers(rosters[i]),
                        membership::makeBeat(rosters[i], now));
            sendEntries(i, membership::digestReceivers(rosters[i], random()),
                        membership::makeDigest(rosters[i], now));
        }
    }

    void rounds(int count)
    {
        for (int i = 0; i < count; ++i)
            round();
    }

    std::size_t serving(std::size_t i) const { return membership::servingHosts(rosters[i]).size(); }

    // How many running instances of a side do not name exactly `count` instances.
    std::size_t mistaken(std::size_t count, int ofSide = 0) const
    {
        std::size_t found = 0;
        for (std::size_t i = 0; i < rosters.size(); ++i)
            found += isRunning[i] && side[i] == ofSide && serving(i) != count ? 1 : 0;
        return found;
    }
};

} // namespace

TEST_CASE("instances that know three contacts find all others")
{
    for (const std::size_t count : { 2U, 8U, 84U, 300U }) {
        CAPTURE(count);
        Network network(count);
        network.rounds(8);
        CHECK(network.mistaken(count) == 0);
    }
}

TEST_CASE("a dead instance leaves everyone's directory within the bound")
{
    // Three seconds of contact and three more are allowed.
    Network network(84);
    network.rounds(10);
    network.isRunning[5] = false;
    const Milliseconds diedAt = network.now;
    while (network.now - diedAt < 5'600_ms)
        network.round();
    CHECK(network.mistaken(83) == 0);
}

TEST_CASE("living instances are not taken for dead")
{
    for (const std::size_t count : { 3U, 8U, 84U, 300U }) {
        CAPTURE(count);
        Network network = Network::introduced(count);
        network.rounds(10);
        for (int i = 0; i < 40; ++i) {
            network.round();
            REQUIRE(network.mistaken(count) == 0);
        }
    }
}

TEST_CASE("a network that loses one datagram in twenty makes nobody lost")
{
    Network network(84);
    network.rounds(10);
    network.lossShare = 0.05;
    for (int i = 0; i < 50; ++i) {
        network.round();
        REQUIRE(network.mistaken(84) == 0);
    }
}

TEST_CASE("zone lost: no directory names a dead instance for longer than two seconds")
{
    // Callers of the lost zone connect to dead instances until they are named others.
    for (const std::size_t count : { 9U, 30U, 90U, 300U }) {
        CAPTURE(count);
        Network network = Network::introduced(count);
        network.rounds(10);
        for (std::size_t i = 0; i < count / 3; ++i)
            network.isRunning[i] = false;
        network.rounds(5);
        CHECK(network.mistaken(count - count / 3) == 0);
    }
}

TEST_CASE("two survivors of eight agree that the others are lost")
{
    Network network(8);
    network.rounds(10);
    for (std::size_t i = 2; i < 8; ++i)
        network.isRunning[i] = false;
    network.rounds(12);
    CHECK(network.mistaken(2) == 0);
}

TEST_CASE("the only survivor finds out that it is alone")
{
    Network network(8);
    network.rounds(10);
    for (std::size_t i = 1; i < 8; ++i)
        network.isRunning[i] = false;
    network.rounds(20);
    CHECK(network.serving(0) == 1);
}

TEST_CASE("all instances killed at once find each other again within two seconds")
{
    for (const std::size_t count : { 8U, 84U, 300U }) {
        CAPTURE(count);
        Network network = Network::introduced(count);
        network.rounds(10);
        for (std::size_t i = 0; i < count; ++i)
            network.restart(i, 2);
        network.rounds(5);
        CHECK(network.mistaken(count) == 0);
    }
}

TEST_CASE("an instance that is cut off is lost to the others and found again")
{
    Network network(84);
    network.rounds(10);
    network.side[7] = 1;
    network.rounds(8);
    CHECK(network.mistaken(83) == 0);
    network.side[7] = 0;
    network.rounds(3);
    CHECK(network.mistaken(84) == 0);
}

TEST_CASE("the two sides of a healed partition find each other again")
{
    Network network(84);
    network.rounds(10);
    for (std::size_t i = 0; i < 28; ++i)
        network.side[i] = 1;
    network.rounds(15);
    CHECK(network.mistaken(56) == 0);
    CHECK(network.mistaken(28, 1) == 0);
    for (std::size_t i = 0; i < 28; ++i)
        network.side[i] = 0;
    network.rounds(10);
    CHECK(network.mistaken(84) == 0);
}

TEST_CASE("an instance that stood still does not take its neighbours for lost")
{
    Network network(8);
    network.rounds(10);
    network.isRunning[3] = false;
    network.rounds(9);
    CHECK(network.mistaken(7) == 0);
    network.isRunning[3] = true;
    network.round();
    CHECK(network.serving(3) == 8);
    network.rounds(2);
    CHECK(network.mistaken(8) == 0);
}

TEST_CASE("a minority of watchers that hears nothing decides nothing")
{
    Network network(8);
    network.rounds(10);
    Roster &judge = network.rosters[0];
    const membership::SilenceClaim claim = membership::claimOf(judge, hostAt(5));
    membership::noteClaims(judge, hostAt(1), { claim }, network.now);
    membership::noteClaims(judge, hostAt(2), { claim }, network.now);
    CHECK(network.serving(0) == 8);
    membership::noteClaims(judge, hostAt(2), { claim }, network.now);
    CHECK(network.serving(0) == 8);
    membership::noteClaims(judge, hostAt(3), { claim }, network.now);
    CHECK(network.serving(0) == 7);
}

TEST_CASE("a claim of an earlier version decides nothing")
{
    Roster roster = rosterOf("a");
    membership::noteEntries(roster, { { "b", 5, 1 } }, 0_ms);
    const membership::SilenceClaim stale = membership::claimOf(roster, "b");
    membership::noteEntries(roster, { { "b", 5, 2 } }, 10_ms);
    membership::noteClaims(roster, "c", { stale }, 20_ms);
    CHECK(membership::servingHosts(roster).size() == 2);
}

TEST_CASE("an instance that hears of its own silence makes a new version once")
{
    Roster roster = rosterOf("a");
    const membership::SilenceClaim claim { "a", 1, 0 };
    CHECK(membership::noteClaims(roster, "b", { claim }, 0_ms)
          == membership::ClaimAnswer::Everyone);
    CHECK(membership::noteClaims(roster, "c", { claim }, 0_ms)
          == membership::ClaimAnswer::Claimant);
    CHECK(roster.self.version == 1);
}

TEST_CASE("an instance that joins late is told who is lost")
{
    Network network(8);
    network.rounds(10);
    network.isRunning[5] = false;
    network.rounds(10);
    network.add({ hostAt(0), hostAt(1), hostAt(5) });
    network.rounds(3);
    CHECK(network.mistaken(8) == 0);
}

TEST_CASE("the messages and entries of one instance do not grow with the fleet")
{
    for (const std::size_t count : { 84U, 300U }) {
        CAPTURE(count);
        Network network = Network::introduced(count);
        network.rounds(20);
        network.messages = 0;
        network.entries = 0;
        network.rounds(10);
        const double instanceRounds = 10.0 * static_cast<double>(count);
        CHECK(static_cast<double>(network.messages) / instanceRounds
              <= membership::watcherCount + 1);
        // 2 kB/s at 2.5 rounds a second leave 800 bytes a round: seven headers of 42 bytes and
        // about 25 bytes an entry.
        CHECK(static_cast<double>(network.entries) / instanceRounds <= 20);
    }
}

TEST_CASE("an instance that leaves is dropped at once by whoever hears of it")
{
    Roster roster = rosterOf("a");
    membership::noteEntries(roster, { { "b", 5, 1, false } }, 0_ms);
    CHECK(membership::servingHosts(roster).size() == 2);
    membership::noteEntries(roster, { { "b", 5, 2, true } }, 20_ms);
    CHECK(membership::servingHosts(roster).size() == 1);
    CHECK(membership::livingHosts(roster).size() == 2);
    // A late entry of before does not bring it back, its next run does.
    membership::noteEntries(roster, { { "b", 5, 3, false } }, 30_ms);
    CHECK(membership::servingHosts(roster).size() == 1);
    CHECK(membership::noteEntries(roster, { { "b", 6, 1, false } }, 40_ms).size() == 1);
    CHECK(membership::servingHosts(roster).size() == 2);
}

TEST_CASE("a run under a clock that went back outlives its earlier one")
{
    Roster roster = rosterOf("a");
    roster.self.incarnation = 100;
    membership::noteEntries(roster, { { "a", 900, 7, false } }, 0_ms);
    CHECK(roster.self.incarnation == 901);
}

TEST_CASE("an instance that restarts while all contacts are down is told who lives")
{
    Network network(8);
    network.rounds(10);
    for (const std::size_t contact : { 0U, 1U, 2U })
        network.isRunning[contact] = false;
    network.isRunning[7] = false;
    network.rounds(12);
    network.restart(7, 2);
    network.rounds(8);
    CHECK(network.serving(7) == 5);
    CHECK(network.serving(4) == 5);
}

TEST_CASE("a member that has been lost for long is forgotten")
{
    Roster roster = rosterOf("a");
    membership::noteEntries(roster, { { "b", 1, 1, false, true } }, 0_ms);
    membership::forgetLost(roster, membership::forgetAfter - 1_ms);
    CHECK(roster.members.size() == 1);
    membership::forgetLost(roster, membership::forgetAfter);
    CHECK(roster.members.empty());
}
