#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <egretmount/core/ids.h>

#include "kernel/service.h"
#include "net/http_server.h"
#include "net/reactor.h"
#include "net/server_connection.h"
#include "placement_service.h"

namespace egretmount::node {

class FleetService;
class IngressService;
class PeerService;
class ReachService;
class TargetPool;

/// @brief Passes requests on to other instances while this one reaches no target, and accepts those
///        that other instances pass on.
///
/// A request is passed on once: an instance that has received it so and reaches no target either
/// declines it.
class RelayService
    : public kernel::Service
    , public net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "relay";

    RelayService(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Returns whether this instance reaches no target itself.
    bool isNeeded() const;

    /// @brief Returns whether any instance can receive requests from this one.
    bool hasReceiver() const;

    /// @brief Chooses an instance that reaches targets; nothing if there is none.
    /// @param excluded Instances that have already failed the request.
    std::optional<Placement> place(const std::set<TargetId> &excluded);

    /// @brief Returns whether an instance still reaches targets.
    bool mayReceive(const TargetId &instance) const;

    /// @brief Returns the server of other instances' connections. @pre The service has started.
    net::HttpServer &server() { return *m_server; }

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   net::RequestBody body) override;
    fleet::CallerLimits limits() const override;
    std::shared_ptr<limits::BodyMemory> bodyMemory() const override;
    std::string outOfMemoryFields(const http::RequestHead &head) override;
    bool isStopping() const override;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    IngressService *m_ingress = nullptr;
    PeerService *m_peers = nullptr;
    ReachService *m_reach = nullptr;
    TargetPool *m_targets = nullptr;
    std::unique_ptr<net::HttpServer> m_server;
    std::mt19937_64 m_random;
};

} // namespace egretmount::node
