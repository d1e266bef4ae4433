#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/instance/capacity.h>
#include <egretmount/membership/registry_version.h>

namespace egretmount::membership {

/// @brief Greatest number of instances that watch the registry. The others receive its changes from
///        their peers, so that the number of registry calls does not grow with the fleet.
constexpr std::size_t maxRegistryWatchers = 8;

/// @brief Greatest number of instances that one instance notifies of a change.
///
/// With eight watchers, two hops reach 344 instances, and a large configuration needs at most six
/// transfers on the link of one instance.
constexpr std::size_t changeFanout = 6;

/// @brief Returns whether an instance watches the registry: it is one of the first of
///        `instance::roleOrder`.
/// @param living Living instances, including `self`.
/// @param capacities Their relative capacities; empty: all are alike.
/// @complexity Linear in the number of instances.
bool isRegistryWatcher(const InstanceId &self, const std::vector<InstanceId> &living,
                       const instance::Capacities &capacities = {});

/// @brief Returns the instances that `self` notifies when it has received a change.
///
/// The living instances form trees in the order of `instance::roleOrder`, with the watchers as the
/// roots. Each instance that is not a watcher has exactly one parent.
/// @param living Living instances, including `self`.
/// @param capacities Their relative capacities; empty: all are alike.
/// @complexity N log N in the number of instances.
std::vector<InstanceId> changeReceivers(const InstanceId &self,
                                        const std::vector<InstanceId> &living,
                                        const instance::Capacities &capacities = {});

/// @brief Returns the instance that notifies `self` of changes, or nothing if `self` is a watcher.
/// @param living Living instances, including `self`.
/// @param capacities Their relative capacities; empty: all are alike.
/// @complexity N log N in the number of instances.
std::optional<InstanceId> changeSource(const InstanceId &self,
                                       const std::vector<InstanceId> &living,
                                       const instance::Capacities &capacities = {});

/// @brief Time for which a starting instance waits for a preferred instance to offer the contents
///        of the registry, after another one has offered them.
///
/// All instances report their version to a new one within two of its announcements of itself, which
/// are 60 ms apart.
constexpr Milliseconds preferredOfferTimeout = Milliseconds(150);

/// @brief Returns whether a starting instance fetches the contents from a peer that offers them.
///
/// Sending them occupies a small link for long, so a peer that is not preferred for special roles
/// is used only if no other preferred instance is known to live, or if none has offered the
/// contents within `preferredOfferTimeout`.
/// @param firstOfferAt When the first peer offered the contents.
/// @complexity Linear in the number of instances.
bool mayFetchContents(const InstanceId &self, const InstanceId &peer,
                      const std::vector<InstanceId> &living, const instance::Capacities &capacities,
                      Milliseconds firstOfferAt, Milliseconds now);

/// @brief An instance fetches a change from any peer that has it if it has been behind for this
///        long. Before that, it waits for its source, because the first instances that have the
///        change could not serve all others at once.
constexpr Milliseconds changeSourceTimeout = Milliseconds(400);

/// @brief How an instance uses a page of changes.
enum class ChangesUse {
    Apply,
    Ignore, ///< The page is older, or does not continue the held history.
    Reload, ///< The registry has started a new era, so the contents have to be loaded again.
};

/// @brief Decides how to use a page of changes.
/// @param held Version that the instance holds when the page arrives.
/// @param after Version after which the changes were requested.
/// @param page Version that the page leads to.
ChangesUse useOfChanges(const RegistryVersion &held, const RegistryVersion &after,
                        const RegistryVersion &page);

/// @brief How an instance reacts to the version that a peer announces.
enum class AnnouncementUse {
    Ignore,
    Confirm, ///< The peer holds the same version.
    FetchChanges,
    FetchContents, ///< The peer's version does not continue the held history.
};

AnnouncementUse useOfAnnouncement(const RegistryVersion &held, const RegistryVersion &announced);

/// @brief What an instance knows about its copy of the registry.
struct RegistrySyncState
{
    bool isWatcher = false;
    bool hasContents = false; ///< A listing or the snapshot of a peer has been applied.
    bool isContact = false; ///< Starting instances look for the fleet at this one.
    std::size_t instances = 1; ///< Living instances.
    std::uint64_t randomBits = 0; ///< Differs between instances and spreads their calls over time.
    Milliseconds startedAt;
    Milliseconds calledAt; ///< Last own call to the registry; zero: none yet.
    /// Last time at which this copy is known to have been complete, from an own call or from a
    /// peer.
    Milliseconds confirmedAt;
    Milliseconds behindSince; ///< When a later version was first reported; zero: none has been.
    bool isEraBehind = false; ///< The later version belongs to a later era.
};

/// @brief Time that a starting instance waits for the snapshot of a peer before it lists the
///        registry. Contacts do not wait.
constexpr Milliseconds snapshotTimeout = Milliseconds(400);

/// @brief The end of `snapshotTimeout` is spread over this time.
constexpr Milliseconds snapshotTimeoutSpread = Milliseconds(600);

/// @brief An instance that is not a watcher calls the registry if it has been behind for this long,
///        because its peers do not pass the change on. After a change of era,
///        all instances are behind and listings are large, so the end of this time is spread over
///        the interval between two calls.
constexpr Milliseconds maxTimeBehind = Milliseconds(1'800);

/// @brief An instance that is not a watcher calls the registry if no watcher is known to have
///        reached it for this long.
constexpr Milliseconds maxConfirmationAge = Milliseconds(2'500);

/// @brief Shortest time between two such calls of one instance.
constexpr Milliseconds minCallInterval = Milliseconds(600);

/// @brief During an outage, the interval between two calls of one instance grows by this for each
///        living instance. All of them together make at most 50 calls a second.
constexpr Milliseconds callIntervalPerInstance = Milliseconds(20);

/// @brief Returns whether an instance should call the registry now. It calls this regularly while
///        it has no call in progress.
bool shouldCallRegistry(const RegistrySyncState &state, Milliseconds now);

} // namespace egretmount::membership
