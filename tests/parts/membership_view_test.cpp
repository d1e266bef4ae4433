#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include <egretmount/core/random.h>
#include <egretmount/membership/selection.h>
#include <egretmount/membership/view.h>

using namespace egretmount;
using namespace egretmount::membership;
using namespace egretmount::literals;

namespace {

constexpr Milliseconds step = 100_ms;
constexpr Milliseconds heartbeatPeriod = 300_ms;

/// Simulates instances that exchange heartbeats. Messages in a direction that is cut are lost.
class Network
{
public:
    explicit Network(int count)
    {
        for (int i = 0; i < count; ++i) {
            ListedInstance instance;
            instance.id = InstanceId("entry-" + std::to_string(100 + i));
            instance.zone = ZoneId("zone-" + std::to_string(i % 3));
            m_list.push_back(instance);
        }
        for (const ListedInstance &instance : m_list) {
            MembershipState state;
            state.self = { instance.id, 1 };
            applyList(state, m_list, m_now);
            m_states.push_back(state);
        }
        m_isDown.resize(m_states.size());
        m_isDraining.resize(m_states.size());
    }

    /// Switches to a faulty variant that forwards no reports; the checks must detect it.
    void disableForwarding() { m_forwardsReports = false; }
    void cut(std::size_t from, std::size_t to) { m_cuts[{ from, to }] = true; }
    void setDown(std::size_t index, bool isDown) { m_isDown[index] = isDown; }
    void setDraining(std::size_t index) { m_isDraining[index] = true; }
    void setLoss(Random &random, std::uint64_t oneIn)
    {
        m_random = &random;
        m_lossOneIn = oneIn;
    }

    void restart(std::size_t index)
    {
        const InstanceRun run { m_list[index].id, m_states[index].self.incarnation + 1 };
        m_states[index] = MembershipState();
        m_states[index].self = run;
        applyList(m_states[index], m_list, m_now);
        m_isDraining[index] = false;
    }

    void run(Milliseconds duration)
    {
        for (const Milliseconds end = m_now + duration; m_now < end; m_now += step) {
            if (m_now.count() % heartbeatPeriod.count() == 0)
                sendHeartbeats();
        }
    }

    std::size_t callable(std::size_t index) const
    {
        return callableInstances(m_states[index], m_isDraining[index], m_now).size();
    }
    bool isCallable(std::size_t viewer, std::size_t subject) const
    {
        const std::vector<ListedInstance> all =
            callableInstances(m_states[viewer], m_isDraining[viewer], m_now);
        return std::any_of(all.begin(), all.end(),
                           [&](const ListedInstance &one) { return one.id == m_list[subject].id; });
    }
    MembershipState &state(std::size_t index) { return m_states[index]; }
    std::size_t size() const { return m_states.size(); }
    Milliseconds now() const { return m_now; }

private:
    void sendHeartbeats()
    {
        for (std::size_t from = 0; from < m_states.size(); ++from) {
            for (const InstanceId &id : m_states[from].heartbeatPeers) {
                const std::size_t to = std::stoul(id.value.substr(6)) - 100;
                // The response needs both directions.
                if (deliver(from, to))
                    deliver(to, from);
            }
        }
    }

    bool deliver(std::size_t from, std::size_t to)
    {
        const bool isLost = m_random && m_random->below(m_lossOneIn) == 0;
        if (m_isDown[from] || m_isDown[to] || m_cuts[{ from, to }] || isLost)
            return false;
        PeerView received;
        received.run = m_states[from].self;
        received.lastReceivedAt = m_now;
        received.isDraining = m_isDraining[from];
        applyHeartbeat(m_states[to], received);
        if (!m_forwardsReports)
            return true;
        for (const PeerReport &report : reportsToSend(m_states[from], m_now))
            applyReport(m_states[to], report, m_now);
        return true;
    }

    InstanceList m_list;
    std::vector<MembershipState> m_states;
    std::vector<bool> m_isDown;
    std::vector<bool> m_isDraining;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cuts;
    bool m_forwardsReports = true;
    Random *m_random = nullptr;
    std::uint64_t m_lossOneIn = 1;
    Milliseconds m_now = 3'000_ms;
};

/// Counts the instances, other than the subject, that would send callers to it.
std::size_t viewersOf(const Network &network, std::size_t subject)
{
    std::size_t count = 0;
    for (std::size_t viewer = 0; viewer < network.size(); ++viewer)
        count += viewer != subject && network.isCallable(viewer, subject) ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("membership: all instances learn of a failure, a restart and a drain in bounded time")
{
    for (const int count : { 3, 8, 60 }) {
        CAPTURE(count);
        Network network(count);
        network.run(3'000_ms);
        CHECK(viewersOf(network, 2) == network.size() - 1);
        network.setDown(2, true);
        network.run(peerSuspicionTimeout + 2'000_ms);
        CHECK(viewersOf(network, 2) == 0);
        network.setDown(2, false);
        network.restart(2);
        network.run(reportLifetime + 1'000_ms);
        CHECK(viewersOf(network, 2) == network.size() - 1);
        network.setDraining(2);
        network.run(2'000_ms);
        CHECK(viewersOf(network, 2) == 0);
        network.setDown(2, true);
        for (int i = 0; i < 20; ++i) {
            network.run(300_ms);
            CHECK(viewersOf(network, 2) == 0);
        }
    }
}

TEST_CASE("membership: the checks detect a variant that forwards no reports")
{
    Network network(60);
    network.disableForwarding();
    network.run(3'000_ms);
    network.setDown(2, true);
    network.run(peerSuspicionTimeout + 2'000_ms);
    CHECK(viewersOf(network, 2) > 0);
}

TEST_CASE("membership: one instance that receives nothing from another does not convince the rest")
{
    Network network(20);
    network.run(3'000_ms);
    const InstanceId peer = network.state(0).heartbeatPeers.front();
    const std::size_t other = std::stoul(peer.value.substr(6)) - 100;
    network.cut(other, 0);
    network.run(6'000_ms);
    CHECK_FALSE(network.isCallable(0, other));
    CHECK(viewersOf(network, other) == network.size() - 2);
    CHECK(viewersOf(network, 0) >= network.size() - 2);
    CHECK(network.state(0).listed.size() == 20); // suspicion does not change the list
}

TEST_CASE("membership: heartbeats of old incarnations and expired reports are ignored")
{
    Network network(8);
    network.run(1'000_ms);
    network.restart(3);
    network.run(600_ms);
    MembershipState &state = network.state(4);
    PeerView old;
    old.run = { InstanceId("entry-103"), 1 };
    old.isDraining = true;
    if (findPeer(state, old.run.instance))
        CHECK_FALSE(applyHeartbeat(state, old));
    const PeerReport report {
        { InstanceId("entry-101"), 1 }, old.run, PeerReportKind::Draining, 0_ms
    };
    CHECK_FALSE(applyReport(state, report, network.now()));
    CHECK(network.isCallable(4, 3));
}

TEST_CASE("membership: after a process pause the view is stale until a peer sends a heartbeat")
{
    Network network(8);
    network.run(3'000_ms);
    MembershipState &state = network.state(1);
    CHECK(isViewFresh(state));
    onProcessPaused(state, network.now());
    CHECK_FALSE(isViewFresh(state));
    network.run(400_ms);
    CHECK(isViewFresh(state));
}

TEST_CASE("membership: views converge despite message loss in 1,000 seeded schedules")
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        Network network(8);
        network.setLoss(random, 4);
        const std::size_t ended = random.below(8);
        network.run(2'000_ms);
        for (int i = 0; i < 4; ++i) {
            network.restart(random.below(8));
            network.run(Milliseconds(static_cast<std::int64_t>(random.below(10)) * 300));
        }
        network.setDown(ended, true);
        network.run(peerSuspicionTimeout + 3'000_ms);
        REQUIRE(viewersOf(network, ended) == 0);
        network.setLoss(random, UINT64_MAX);
        network.setDown(ended, false);
        network.run(3'000_ms);
        REQUIRE(viewersOf(network, ended) == 7);
    }
}
