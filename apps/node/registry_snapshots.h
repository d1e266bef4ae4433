#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

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
/// another instance and watches the store from that revision. It also allows most instances of a
/// large fleet to receive all changes without calling the store.
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

    /// @brief Fetches the changes after a version that another instance has received.
    ///
    /// Does nothing while a fetch is running.
    /// @param done Called once with the page or the reason for the failure.
    void fetchChanges(const std::string &host, const platform::RegistryVersion &after,
                      platform::StoreClient::Done done);

    bool isFetching() const { return m_client && m_client->isBusy(); }

private:
    /// @brief Sets the client to one for the given instance. It keeps the connection if the last
    ///        fetch was from the same instance.
    void useClientOf(const std::string &host);

    /// @brief A response to a call for the contents or for the changes after a version.
    struct Response
    {
        platform::RegistryVersion version; ///< Version of the snapshot.
        std::optional<platform::RegistryVersion> after; ///< Empty: the contents.
        int status = 0;
        bool isDeflated = false;
        std::string body;
    };

    /// @param after Version to return the changes after; empty: the contents.
    const Response &responseTo(const std::optional<platform::RegistryVersion> &after);

    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   net::RequestBody body) override;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    std::shared_ptr<net::Listener> m_listener;
    platform::RegistrySnapshot m_own;
    std::unique_ptr<platform::StoreClient> m_client;
    std::string m_clientHost; ///< Instance that `m_client` calls.
    Milliseconds m_lastFetchAt;
    Milliseconds m_windowStartedAt;
    Response m_response; ///< The last one.
    int m_servedInWindow = 0; ///< Large responses since `m_windowStartedAt`.
};

} // namespace egretmount::node
