#pragma once

#include <memory>
#include <string>
#include <vector>

#include <egretmount/membership/directory_plan.h>

#include "kernel/service.h"
#include "net/http_server.h"
#include "net/server_connection.h"

namespace egretmount::node {

class FleetService;
class PeerService;

/// @brief Serves the directory of instances to callers, and the readiness probe to the platform.
class DirectoryService
    : public kernel::Service
    , public net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "directory";

    DirectoryService(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Makes the readiness probe report that this instance is not ready.
    void setStopping() { m_isStopping = true; }

    /// @brief Answers the requests that have arrived completely, and closes all connections.
    void closeAll();

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   net::RequestBody body) override;
    bool isStopping() const override { return m_isStopping; }
    std::string directoryResponse();

    /// @brief Returns the hosts that the next response names.
    std::vector<std::string> nextSection();

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    std::vector<std::unique_ptr<net::HttpServer>> m_servers; ///< One for each address.
    std::vector<std::string> m_plannedHosts; ///< Hosts for which `m_plan` was made.
    instance::Capacities m_plannedCapacities; ///< Capacities for which `m_plan` was made.
    membership::DirectoryPlan m_plan;
    std::size_t m_ownPlace = 0; ///< Place of this instance in `m_plan`.
    std::size_t m_responses = 0; ///< Responses made by `m_plan` or an earlier plan.
    bool m_isStopping = false;
};

} // namespace egretmount::node
