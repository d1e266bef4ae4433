#pragma once

#include <vector>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;
class PeerService;
class RegistryCopies;

/// @brief Keeps the fleet's state in step with the platform's store: one listing, then a watch.
class RegistrySync : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "registry";

    RegistrySync(net::Reactor &reactor, kernel::ServiceRegistry &registry, const std::string &address);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::Revision revision() const { return m_revision; }

    /// @brief Takes in that another instance has seen a state of the store.
    ///
    /// As long as this one has seen none, it asks that instance for its copy.
    void noteRevisionOf(const std::string &host, platform::Revision revision);

private:
    void list();
    void onCopy(const platform::RegistryPage &page);
    void onListed(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void watch();
    void onChanges(tl::expected<platform::RegistryPage, platform::StoreFailure> page);
    void noteFailure(platform::StoreFailure failure);
    void noteAnswer();
    void retry();
    Milliseconds waitOfWatch() const;
    Milliseconds pauseBetweenWatches() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    platform::StoreClient m_client;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    RegistryCopies *m_copies = nullptr;
    platform::RegistryPage m_listed; ///< Pages of the listing under way.
    platform::Revision m_revision = 0;
    Milliseconds m_watchStarted;
    Milliseconds m_lastAnswer;
    Milliseconds m_behindSince; ///< Zero: no later state is known of.
    int m_failures = 0;
    bool m_isWatching = false;
    bool m_needsListing = true;
};

} // namespace egretmount::node
