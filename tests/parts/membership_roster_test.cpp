#include <doctest/doctest.h>

#include <algorithm>
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

// Instances that exchange digests over a network without delay.
struct Network
{
    std::vector<Roster> rosters;
    std::vector<bool> isRunning;
    std::mt19937_64 random { 7 };
    std::size_t messages = 0;
    Milliseconds now = 10'000_ms;

    explicit Network(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            rosters.push_back(rosterOf(hostAt(i), { hostAt(0), hostAt(1), hostAt(2) }));
            isRunning.push_back(true);
        }
    }

    void round()
    {
        now += membership::digestInterval;
        for (std::size_t i = 0; i < rosters.size(); ++i) {
            if (!isRunning[i])
                continue;
            const std::vector<membership::RosterEntry> digest =
                membership::makeDigest(rosters[i], now);
            for (const std::string &host : membership::digestReceivers(rosters[i], now, random())) {
                ++messages;
                for (std::size_t j = 0; j < rosters.size(); ++j) {
                    if (isRunning[j] && rosters[j].self.host == host)
                        membership::noteDigest(rosters[j], digest, now);
                }
            }
        }
    }

    void rounds(int count)
    {
        for (int i = 0; i < count; ++i)
            round();
    }
};

} // namespace

TEST_CASE("instances that know three contacts find all others")
{
    for (const std::size_t count : { 2U, 8U, 84U }) {
        CAPTURE(count);
        Network network(count);
        network.rounds(8);
        for (const Roster &roster : network.rosters)
            CHECK(membership::servingHosts(roster, network.now).size() == count);
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
    for (std::size_t i = 0; i < network.rosters.size(); ++i) {
        if (i == 5)
            continue;
        const std::vector<std::string> hosts =
            membership::servingHosts(network.rosters[i], network.now);
        CHECK(std::find(hosts.begin(), hosts.end(), hostAt(5)) == hosts.end());
    }
}

TEST_CASE("living instances are not taken for dead at 84 instances")
{
    Network network(84);
    network.rounds(10);
    for (int i = 0; i < 40; ++i) {
        network.round();
        for (const Roster &roster : network.rosters)
            REQUIRE(membership::servingHosts(roster, network.now).size() == 84);
    }
}

TEST_CASE("the messages of one instance do not grow with the fleet")
{
    const auto perRound = [](std::size_t count) {
        Network network(count);
        network.rounds(10);
        network.messages = 0;
        network.rounds(10);
        return static_cast<double>(network.messages) / 10 / static_cast<double>(count);
    };
    CHECK(perRound(84) <= membership::digestFanout + 2);
    CHECK(perRound(300) <= membership::digestFanout + 2);
}

TEST_CASE("an instance that leaves is dropped at once by whoever hears of it")
{
    Roster roster = rosterOf("a");
    membership::noteDigest(roster, { { "b", 5, 1, false } }, 0_ms);
    CHECK(membership::servingHosts(roster, 10_ms).size() == 2);
    membership::noteDigest(roster, { { "b", 5, 2, true } }, 20_ms);
    CHECK(membership::servingHosts(roster, 20_ms).size() == 1);
    CHECK(membership::livingHosts(roster, 20_ms).size() == 2);
    // A late digest of before does not bring it back, its next run does.
    membership::noteDigest(roster, { { "b", 5, 3, false } }, 30_ms);
    CHECK(membership::servingHosts(roster, 30_ms).size() == 1);
    CHECK(membership::noteDigest(roster, { { "b", 6, 1, false } }, 40_ms).size() == 1);
    CHECK(membership::servingHosts(roster, 40_ms).size() == 2);
}

TEST_CASE("a run under a clock that went back outlives its earlier one")
{
    Roster roster = rosterOf("a");
    roster.self.incarnation = 100;
    membership::noteDigest(roster, { { "a", 900, 7, false } }, 0_ms);
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
    network.rosters[7] = rosterOf(hostAt(7), { hostAt(0), hostAt(1), hostAt(2) });
    network.rosters[7].self.incarnation = 2;
    network.isRunning[7] = true;
    network.rounds(8);
    CHECK(membership::servingHosts(network.rosters[7], network.now).size() == 5);
    CHECK(membership::servingHosts(network.rosters[4], network.now).size() == 5);
}

TEST_CASE("a member that has been dead for long is forgotten")
{
    Roster roster = rosterOf("a");
    membership::noteDigest(roster, { { "b", 1, 1, false } }, 0_ms);
    membership::forgetDead(roster, membership::forgetAfter - 1_ms);
    CHECK(roster.members.size() == 1);
    membership::forgetDead(roster, membership::forgetAfter);
    CHECK(roster.members.empty());
}
