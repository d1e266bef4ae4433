#pragma once

#include <vector>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;
class PeerService;

/// @brief Keeps the fleet's state in step with the platform's store: one listing, then a watch.
class RegistrySync : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "registry";

    RegistrySync(net::Reactor &reactor, kernel::Registry &registry, const std::string &address);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::Revision revision() const { return m_revision; }

    /// @brief Takes in that another instance has seen a later state of the store.
    void noteLaterRevision(platform::Revision revision);

private:
    void list();
    void onListed(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void watch();
    void onChanges(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void noteFailure(platform::StoreFailure failure);
    void noteAnswer();
    void retry();
    Milliseconds waitOfWatch() const;
    Milliseconds pauseBetweenWatches() const;

    net::Reactor &m_reactor;
    kernel::Registry &m_registry;
    platform::StoreClient m_client;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    std::vector<platform::RegistryChange> m_listed;
    platform::Revision m_listedAt = 0;
    platform::Revision m_revision = 0;
    Milliseconds m_watchStarted;
    Milliseconds m_lastAnswer;
    Milliseconds m_behindSince; ///< Zero: no later state is known of.
    int m_failures = 0;
    bool m_isWatching = false;
    bool m_needsListing = true;
};

} // namespace egretmount::node
