#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <egretmount/membership/registry_sync.h>

using namespace egretmount;
using namespace egretmount::literals;

namespace {

std::vector<InstanceId> fleetOf(int count)
{
    std::vector<InstanceId> instances;
    instances.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        instances.emplace_back("10." + std::to_string(1 + i % 5) + ".0." + std::to_string(i / 5));
    std::sort(instances.begin(), instances.end());
    return instances;
}

std::size_t watchersAmong(const std::vector<InstanceId> &living)
{
    return static_cast<std::size_t>(
        std::count_if(living.begin(), living.end(), [&](const InstanceId &instance) {
            return membership::isRegistryWatcher(instance, living);
        }));
}

// An instance that has contents and was confirmed at `now`, but does not watch the registry.
membership::RegistrySyncState followerAt(Milliseconds now, std::size_t instances)
{
    membership::RegistrySyncState state;
    state.hasContents = true;
    state.instances = instances;
    state.startedAt = now - 60'000_ms;
    state.confirmedAt = now;
    return state;
}

} // namespace

TEST_CASE("the number of registry watchers does not grow with the fleet")
{
    CHECK(watchersAmong(fleetOf(3)) == 3);
    for (const int count : { 8, 30, 100, 300, 1'000 })
        CHECK(watchersAmong(fleetOf(count)) == membership::maxRegistryWatchers);
}

TEST_CASE("a change reaches each of 300 instances once, in two hops and with a bounded fanout")
{
    const std::vector<InstanceId> living = fleetOf(300);
    std::map<std::string, int> notifications;
    std::vector<InstanceId> reached;
    for (const InstanceId &instance : living) {
        if (membership::isRegistryWatcher(instance, living))
            reached.push_back(instance);
    }
    for (int hop = 0; hop < 2; ++hop) {
        std::vector<InstanceId> next;
        for (const InstanceId &sender : reached) {
            const std::vector<InstanceId> receivers = membership::changeReceivers(sender, living);
            CHECK(receivers.size() <= membership::changeFanout);
            for (const InstanceId &receiver : receivers) {
                CHECK(membership::changeSource(receiver, living) == sender);
                ++notifications[receiver.value];
                next.push_back(receiver);
            }
        }
        reached = std::move(next);
    }
    CHECK(notifications.size() == living.size() - membership::maxRegistryWatchers);
    CHECK(std::all_of(notifications.begin(), notifications.end(),
                      [](const auto &entry) { return entry.second == 1; }));
}

TEST_CASE("a lost instance changes the watchers by at most one")
{
    const std::vector<InstanceId> before = fleetOf(300);
    for (std::size_t lost = 0; lost < before.size(); lost += 7) {
        std::vector<InstanceId> after = before;
        after.erase(after.begin() + static_cast<std::ptrdiff_t>(lost));
        int added = 0;
        for (const InstanceId &instance : after)
            added += membership::isRegistryWatcher(instance, after)
                             && !membership::isRegistryWatcher(instance, before)
                         ? 1
                         : 0;
        CHECK(added <= 1);
    }
}

TEST_CASE("an instance that its peers keep up to date does not call the registry")
{
    const Milliseconds now = 100'000_ms;
    membership::RegistrySyncState state = followerAt(now, 300);
    CHECK_FALSE(membership::shouldCallRegistry(state, now));
    CHECK_FALSE(membership::shouldCallRegistry(state, now + membership::maxConfirmationAge - 1_ms));
    state.isWatcher = true;
    CHECK(membership::shouldCallRegistry(state, now));
}

TEST_CASE("an instance that its peers leave behind calls the registry within the bound")
{
    const Milliseconds now = 100'000_ms;
    membership::RegistrySyncState state = followerAt(now, 300);
    state.behindSince = now;
    CHECK_FALSE(membership::shouldCallRegistry(state, now + 100_ms));
    CHECK(membership::shouldCallRegistry(state, now + membership::maxTimeBehind));
    state.calledAt = now + membership::maxTimeBehind;
    CHECK_FALSE(membership::shouldCallRegistry(state, state.calledAt + 100_ms));
    CHECK(membership::shouldCallRegistry(state, state.calledAt + membership::minCallInterval));
}

TEST_CASE("in an outage of the registry, 300 instances together make at most 60 calls a second")
{
    const Milliseconds start = 100'000_ms;
    int calls = 0;
    for (std::uint64_t i = 0; i < 300; ++i) {
        membership::RegistrySyncState state = followerAt(start, 300);
        state.randomBits = i * 0x9e3779b97f4a7c15ULL;
        for (Milliseconds now = start; now < start + 30'000_ms; now += 100_ms) {
            if (!membership::shouldCallRegistry(state, now))
                continue;
            state.calledAt = now;
            ++calls;
        }
    }
    CHECK(calls <= 60 * 30);
    CHECK(calls > 300); // each of them finds out about the end of an outage by itself
}

TEST_CASE("a starting instance waits for the snapshot of a peer; a contact does not")
{
    membership::RegistrySyncState state;
    state.startedAt = 50'000_ms;
    CHECK_FALSE(membership::shouldCallRegistry(state, state.startedAt));
    CHECK(membership::shouldCallRegistry(state, state.startedAt + membership::snapshotTimeout));
    state.randomBits = 599;
    CHECK_FALSE(
        membership::shouldCallRegistry(state, state.startedAt + membership::snapshotTimeout));
    CHECK(membership::shouldCallRegistry(state, state.startedAt + membership::snapshotTimeout
                                                    + membership::snapshotTimeoutSpread));
    state.isContact = true;
    CHECK(membership::shouldCallRegistry(state, state.startedAt));
}
