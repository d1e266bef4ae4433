#pragma once

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include <egretmount/limits/retry_budget.h>

#include "exchange.h"
#include "kernel/service.h"
#include "net/server_connection.h"

namespace egretmount::node {

class FleetService;
class MetricsService;
class PeerService;
class PlacementService;
class TargetPool;

/// @brief When to come back to an instance that stops: another one can be asked at once.
constexpr Milliseconds stoppingRetryDelay = Milliseconds(50);

/// @brief Takes the callers' requests and keeps their exchanges until they end.
class IngressService
    : public kernel::Service
    , public net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "ingress";

    IngressService(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~IngressService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Takes no more connections; answers close theirs; idle ones are closed.
    void stopAccepting();

    /// @brief Ends all exchanges, each with the best final answer it can have.
    void endAll();

    /// @brief From now on new requests are refused.
    void refuseNew() { m_refusesNew = true; }

    bool isQuiet() const { return m_exchanges.empty(); }
    Milliseconds lastRequestAt() const { return m_lastRequestAt; }

    /// @brief Counts a request of a caller to a service, for the retry budget.
    void noteRequest(const ServiceId &service);

    /// @brief Takes one repeat out of this instance's share of the service's retry budget.
    bool takeRepeat(const ServiceId &service);

    /// @brief Notes that the target at an address did not do its part of a request.
    void noteFaultyAddress(const std::string &address);

    /// @brief Drops an exchange that has ended.
    void forget(const Exchange &exchange);

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   std::string body) override;
    fleet::CallerLimits limits() const override;
    bool isStopping() const override { return m_isStopping; }

    void addGauges();
    void resumeWaiting();
    void relocateFrom(const std::vector<placement::EngineKey> &engines);

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    PlacementService *m_placement = nullptr;
    TargetPool *m_targets = nullptr;
    MetricsService *m_metrics = nullptr;
    std::shared_ptr<net::Listener> m_listener;
    std::unordered_map<const Exchange *, std::shared_ptr<Exchange>> m_exchanges;
    std::vector<std::weak_ptr<net::ServerConnection>> m_connections;
    std::unordered_map<std::string, limits::RetryBudget> m_budgets; ///< By service.
    std::mt19937_64 m_random;
    Milliseconds m_lastRequestAt;
    bool m_isStopping = false;
    bool m_refusesNew = false;
};

} // namespace egretmount::node
