#pragma once

#include <functional>
#include <memory>

#include "kernel/service.h"
#include "net/reactor.h"
#include "net/server_connection.h"
#include "net/tcp_stream.h"
#include "platform/registry_snapshot.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;

/// @brief Serves this instance's snapshot of the platform's store to other instances, and fetches
///        theirs.
///
/// This allows an instance to start while the store does not respond: it loads the snapshot of
/// another instance and watches the store from that revision.
class RegistrySnapshots
    : public kernel::Service
    , private net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "copies";

    RegistrySnapshots(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::RegistrySnapshot &own() { return m_own; }

    /// @brief Fetches the snapshot of another instance.
    ///
    /// Does nothing while a fetch is running, or shortly after the last one.
    /// @param done Called with the snapshot. Failures are only logged.
    void fetchFrom(const std::string &host, std::function<void(platform::RegistryPage)> done);

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   std::string body) override;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    std::shared_ptr<net::Listener> m_listener;
    platform::RegistrySnapshot m_own;
    std::unique_ptr<platform::StoreClient> m_client;
    Milliseconds m_lastFetchAt;
    Milliseconds m_windowStartedAt;
    int m_servedInWindow = 0; ///< Snapshots served since `m_windowStartedAt`.
};

} // namespace egretmount::node
