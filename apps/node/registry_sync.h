#pragma once

#include <vector>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;
class PeerService;
class RegistrySnapshots;

/// @brief Synchronizes the state of the fleet with the platform's store: one listing, then watches.
///
/// A watch returns the changes after a revision. When the store has compacted its history past that
/// revision, the contents are listed again.
class RegistrySync : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "registry";

    RegistrySync(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                 const std::string &address);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::Revision revision() const { return m_revision; }

    /// @brief Handles the registry revision reported by another instance.
    ///
    /// Before the first synchronization, fetches the snapshot of that instance. Later, restarts the
    /// watch if it fails to deliver a revision that the other instance already has.
    void onPeerRevision(const std::string &host, platform::Revision revision);

private:
    void list();
    void onSnapshot(const platform::RegistryPage &page);
    void onListingPage(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void watch();
    void onChanges(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void onFailure(platform::StoreFailure failure);
    void onSuccess();
    void retry();
    Milliseconds watchTimeout() const;
    Milliseconds watchDelay() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    platform::StoreClient m_client;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    RegistrySnapshots *m_snapshots = nullptr;
    platform::RegistryPage m_pendingListing; ///< Pages received of the current listing.
    platform::Revision m_revision = 0;
    Milliseconds m_watchStartedAt;
    Milliseconds m_lastResponseAt;
    Milliseconds m_behindSince; ///< When a later revision became known; zero: none is.
    int m_failures = 0;
    bool m_isWatching = false;
    bool m_needsListing = true;
};

} // namespace egretmount::node
