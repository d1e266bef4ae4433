#pragma once

#include <cstdint>
#include <string>

#include <egretmount/membership/registry_sync.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;
class PeerService;
class RegistrySnapshots;

/// @brief Synchronizes the state of the fleet with the platform's store.
///
/// A few instances watch the store: a watch returns the changes after a revision. When the store
/// has compacted its history past that revision, the contents are listed again. The other instances
/// load the snapshot of a peer and fetch the changes from the peers that announce them. They call
/// the store only if their peers do not keep them up to date; see
/// `membership::shouldCallRegistry`.
class RegistrySync : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "registry";

    RegistrySync(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                 const std::string &address);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Returns the version of the store that this instance has applied.
    const platform::RegistryVersion &version() const { return m_version; }

    /// @brief Returns whether this instance watches the store.
    bool isWatcher() const { return m_state.isWatcher; }

    /// @brief Returns the time since this instance's copy was last known to be complete.
    Milliseconds confirmationAge() const;

    /// @brief Handles the registry version reported by another instance.
    ///
    /// Before the first synchronization, fetches the snapshot of that instance. Later, fetches the
    /// changes that this instance has not received, or restarts its watch if that fails to deliver
    /// them. If the store has started a new era, the contents are loaded again: watchers list the
    /// store, and the others fetch a snapshot.
    /// @param confirmedAt When the other instance's copy was last known to be complete.
    void onPeerVersion(const std::string &host, const platform::RegistryVersion &version,
                       Milliseconds confirmedAt);

private:
    /// @brief Calls the store if it is time to.
    void callIfDue();
    void updateState();
    void list();
    void onListingPage(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void watch();
    void onChanges(const platform::RegistryVersion &after,
                   tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void onFailure(platform::StoreFailure failure);
    void onSuccess();

    /// @brief Handles a response that shows that the store is there, also if it has no page.
    void noteReturn();

    /// @brief Returns whether the store has held back its response to the call in progress.
    bool hasWaited() const;

    /// @brief Returns whether the response to the call in progress is later than that of a store
    ///        that is there.
    bool isLate() const;

    /// @brief Returns for how long this copy of the store may have been incomplete.
    Milliseconds copyAge() const;
    void callAfter(Milliseconds delay);
    void restartStaleWatch(const platform::RegistryVersion &seen);
    void endWatchOfLostEra(const platform::RegistryVersion &seen);
    void noteEra(std::int64_t era);
    bool isEraBehind() const { return !m_version.isEmpty() && m_latestEra > m_version.era; }
    /// @brief Fetches the contents for the first time from a peer that offers them, unless a larger
    ///        instance is expected to offer them soon.
    void fetchFirstContents(const std::string &host);
    void fetchContents(const std::string &host);
    void fetchChanges(const std::string &host);
    void onPeerChanges(const std::string &host, const platform::RegistryVersion &after,
                       tl::expected<platform::RegistryPage, platform::StoreFailure> page);

    /// @param source Instance that sent the page; empty: the store.
    void applyListing(const platform::RegistryPage &page, const std::string &source);
    void applyRestoredListing(const platform::RegistryPage &page, const std::string &source);
    /// @param age Time for which the changes may have been unknown to this instance.
    membership::ChangesUse applyChanges(const platform::RegistryVersion &after,
                                        const platform::RegistryPage &page, Milliseconds age);
    void onApplied(const platform::RegistryVersion &version);
    Milliseconds watchDelay() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    platform::StoreClient m_client;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    RegistrySnapshots *m_snapshots = nullptr;
    platform::RegistryPage m_pendingListing; ///< Pages received of the current listing.
    platform::RegistryVersion m_version;
    std::int64_t m_latestEra = 0; ///< Latest era that the store or a peer has reported.
    membership::RegistrySyncState m_state;
    Milliseconds m_lastResponseAt; ///< Zero: none yet.
    Milliseconds m_completeAt; ///< When this copy was last known to be complete, by own calls.
    Milliseconds m_requestedAt; ///< When the latest request of the call in progress was sent.
    Milliseconds m_callWait; ///< For how long the store may wait before it responds to the call.
    Milliseconds m_firstOfferAt; ///< When a peer first offered the contents; zero: none has.
    Milliseconds m_noCallBefore; ///< End of the delay after changes or a failure.
    int m_failures = 0; ///< Consecutive failed calls.
    std::uint64_t m_calls = 0; ///< Calls to the store, for the metrics.
    std::uint64_t m_peerFetches = 0; ///< Calls for the changes of another instance.
    std::uint64_t m_eraChanges = 0;
    bool m_isCalling = false;
    bool m_isEndingWatch = false; ///< The watch is being cancelled because its era is lost.
    bool m_isWatching = false; ///< The call in progress is a watch.
    bool m_needsListing = true;
};

} // namespace egretmount::node
