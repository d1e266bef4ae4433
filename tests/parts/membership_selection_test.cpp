#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include <egretmount/membership/selection.h>
#include <egretmount/membership/startup.h>

using namespace egretmount;
using namespace egretmount::membership;
using namespace egretmount::literals;

namespace {

InstanceList makeList(int count)
{
    InstanceList list;
    for (int i = 0; i < count; ++i) {
        ListedInstance instance;
        instance.id = InstanceId("entry-" + std::to_string(1000 + i));
        instance.zone = ZoneId("zone-" + std::to_string(i % 3));
        list.push_back(instance);
    }
    return list;
}

} // namespace

TEST_CASE("membership: each availability zone has a constant number of platform watchers")
{
    for (const int count : { 3, 8, 40, 400 }) {
        const InstanceList list = makeList(count);
        std::map<ZoneId, std::size_t> watchers;
        for (const ListedInstance &instance : list)
            watchers[instance.zone] += isPlatformWatcher(list, instance.id) ? 1 : 0;
        for (const std::pair<const ZoneId, std::size_t> &zone : watchers)
            CHECK(zone.second == std::min<std::size_t>(watchersPerZone, count / 3));
    }
    CHECK(isPlatformWatcher({}, InstanceId("alone")));
    CHECK_FALSE(isPlatformWatcher(makeList(3), InstanceId("not-listed")));
}

TEST_CASE("membership: a platform watcher that leaves is replaced")
{
    InstanceList list = makeList(9);
    const auto isWatcher = [&](const ListedInstance &one) {
        return isPlatformWatcher(list, one.id);
    };
    std::find_if(list.begin(), list.end(), isWatcher)->state = ListedState::Leaving;
    CHECK(std::count_if(list.begin(), list.end(), isWatcher) == 6);
}

TEST_CASE("membership: heartbeats go to a constant number of peers, and sender and receiver agree")
{
    const InstanceList list = makeList(60);
    for (const ListedInstance &instance : list) {
        const std::vector<InstanceId> chosen = choosePeers(list, instance.id, heartbeatFanout);
        CHECK(chosen.size() == heartbeatFanout);
        for (const ListedInstance &other : list) {
            const bool isIn = std::find(chosen.begin(), chosen.end(), other.id) != chosen.end();
            if (other.id != instance.id)
                CHECK(isHeartbeatPeerOf(list, other.id, instance.id) == isIn);
        }
    }
}

TEST_CASE("membership: a new instance waits for its peers until the startup timeout")
{
    const InstanceList list = makeList(3);
    StartupState state;
    CHECK_FALSE(isStartupComplete(state, 10'000_ms));
    applyFirstList(state, list, list[0].id, 10'000_ms);
    markPeerDone(state, list[1].id);
    CHECK_FALSE(isStartupComplete(state, 10'000_ms));
    SUBCASE("all peers have responded")
    {
        markPeerDone(state, list[2].id);
        CHECK(isStartupComplete(state, 10'000_ms));
    }
    SUBCASE("one peer does not respond")
    {
        CHECK(isStartupComplete(state, 10'001_ms + startupTimeout));
    }
}
