#include <egretmount/membership/registry_sync.h>

#include <algorithm>
#include <utility>

#include <egretmount/core/hash.h>

namespace egretmount::membership {

namespace {

Milliseconds callInterval(const RegistrySyncState &state)
{
    return std::max(minCallInterval,
                    callIntervalPerInstance * static_cast<std::int64_t>(state.instances));
}

Milliseconds spreadOver(const RegistrySyncState &state, Milliseconds period)
{
    return Milliseconds(static_cast<std::int64_t>(
        state.randomBits % static_cast<std::uint64_t>(period.count() + 1)));
}

std::size_t placeOf(const InstanceId &self, const std::vector<InstanceId> &order)
{
    const auto found = std::find(order.begin(), order.end(), self);
    return static_cast<std::size_t>(found - order.begin());
}

bool hasCalledWithin(const RegistrySyncState &state, Milliseconds interval, Milliseconds now)
{
    return state.calledAt != Milliseconds() && now - state.calledAt < interval;
}

} // namespace

bool isRegistryWatcher(const InstanceId &self, const std::vector<InstanceId> &living,
                       const instance::Capacities &capacities)
{
    const double least = instance::preferredCapacity(living, capacities);
    const auto placeFor = [&](const InstanceId &instance) {
        const bool isOther = least > 0 && instance::capacityOf(capacities, instance.value) < least;
        return std::make_pair(isOther, stableHash(instance.value));
    };
    const std::pair<bool, std::uint64_t> own = placeFor(self);
    const auto before =
        std::count_if(living.begin(), living.end(),
                      [&](const InstanceId &instance) { return placeFor(instance) < own; });
    return static_cast<std::size_t>(before) < maxRegistryWatchers;
}

std::vector<InstanceId> changeReceivers(const InstanceId &self,
                                        const std::vector<InstanceId> &living,
                                        const instance::Capacities &capacities)
{
    if (living.size() <= maxRegistryWatchers)
        return {};
    const std::vector<InstanceId> order = instance::roleOrder(living, capacities);
    std::vector<InstanceId> receivers;
    const std::size_t first = maxRegistryWatchers + placeOf(self, order) * changeFanout;
    for (std::size_t i = first; i < first + changeFanout && i < order.size(); ++i)
        receivers.push_back(order[i]);
    return receivers;
}

std::optional<InstanceId> changeSource(const InstanceId &self,
                                       const std::vector<InstanceId> &living,
                                       const instance::Capacities &capacities)
{
    const std::vector<InstanceId> order = instance::roleOrder(living, capacities);
    const std::size_t place = placeOf(self, order);
    if (place < maxRegistryWatchers)
        return std::nullopt;
    return order[(place - maxRegistryWatchers) / changeFanout];
}

bool mayFetchContents(const InstanceId &self, const InstanceId &peer,
                      const std::vector<InstanceId> &living, const instance::Capacities &capacities,
                      Milliseconds firstOfferAt, Milliseconds now)
{
    const double least = instance::preferredCapacity(living, capacities);
    const auto isPreferred = [&](const InstanceId &instance) {
        return instance::capacityOf(capacities, instance.value) >= least;
    };
    if (isPreferred(peer) || now - firstOfferAt >= preferredOfferTimeout)
        return true;
    return std::none_of(living.begin(), living.end(), [&](const InstanceId &instance) {
        return instance != self && isPreferred(instance);
    });
}

ChangesUse useOfChanges(const RegistryVersion &held, const RegistryVersion &after,
                        const RegistryVersion &page)
{
    if (page.era > held.era)
        return ChangesUse::Reload;
    // Changes after a version of another era miss those between that revision and the held one.
    if (page.era != held.era || after.era != page.era)
        return ChangesUse::Ignore;
    // A page that was requested before a later one arrived would undo changes.
    return page > held ? ChangesUse::Apply : ChangesUse::Ignore;
}

AnnouncementUse useOfAnnouncement(const RegistryVersion &held, const RegistryVersion &announced)
{
    if (announced.isEmpty())
        return AnnouncementUse::Ignore;
    if (held.isEmpty() || announced.era > held.era)
        return AnnouncementUse::FetchContents;
    if (announced == held)
        return AnnouncementUse::Confirm;
    return announced > held ? AnnouncementUse::FetchChanges : AnnouncementUse::Ignore;
}

bool shouldCallRegistry(const RegistrySyncState &state, Milliseconds now)
{
    if (!state.hasContents) {
        if (state.isContact)
            return true;
        return now - state.startedAt >= snapshotTimeout + spreadOver(state, snapshotTimeoutSpread)
               && !hasCalledWithin(state, callInterval(state), now);
    }
    if (state.isWatcher)
        return true;
    const Milliseconds timeout =
        maxTimeBehind
        + (state.isEraBehind ? spreadOver(state, callInterval(state)) : Milliseconds());
    const bool isBehind = state.behindSince != Milliseconds() && now - state.behindSince >= timeout;
    if (isBehind && !hasCalledWithin(state, minCallInterval, now))
        return true;
    const Milliseconds interval = callInterval(state);
    return now - state.confirmedAt >= maxConfirmationAge + spreadOver(state, interval)
           && !hasCalledWithin(state, interval, now);
}

} // namespace egretmount::membership
