#pragma once

#include <vector>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;
class PeerService;
class RegistrySnapshots;

/// @brief Keeps the fleet's state in step with the platform's store: one listing, then a watch.
class RegistrySync : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "registry";

    RegistrySync(net::Reactor &reactor, kernel::Registry &registry, const std::string &address);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::Revision revision() const { return m_revision; }

    /// @brief Takes in that another instance has seen a state of the store.
    ///
    /// As long as this one has seen none, it asks that instance for its copy.
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
    kernel::Registry &m_registry;
    platform::StoreClient m_client;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    RegistrySnapshots *m_snapshots = nullptr;
    platform::RegistryPage m_pendingListing; ///< Pages of the listing under way.
    platform::Revision m_revision = 0;
    Milliseconds m_watchStartedAt;
    Milliseconds m_lastResponseAt;
    Milliseconds m_behindSince; ///< Zero: no later state is known of.
    int m_failures = 0;
    bool m_isWatching = false;
    bool m_needsListing = true;
};

} // namespace egretmount::node
