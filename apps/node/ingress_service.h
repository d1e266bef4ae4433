#pragma once

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include <egretmount/limits/retry_budget.h>

#include "exchange.h"
#include "kernel/service.h"
#include "net/http_server.h"
#include "net/server_connection.h"

namespace egretmount::node {

class FleetService;
class MetricsService;
class PeerService;
class PlacementService;
class CrashGuard;
class TargetPool;

/// @brief Retry-After of an instance that shuts down: callers can use another instance immediately.
constexpr Milliseconds stoppingRetryAfter = Milliseconds(50);

/// @brief Accepts callers' requests and owns their exchanges until they end.
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

    /// @brief Ends the exchanges while the services that they use still exist.
    void stop() override { endAll(); }

    std::shared_ptr<limits::BodyMemory> bodyMemory() const override { return m_bodyMemory; }

    /// @brief Returns the header fields of the response to a request that is refused because its
    ///        body takes too much memory.
    std::string outOfMemoryFields(const http::RequestHead &head, RequestSource source);

    /// @brief Begins to handle a complete request.
    void accept(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                net::RequestBody body, RequestSource source);

    /// @brief Returns the server of the callers' connections. @pre The service has started.
    net::HttpServer &server() { return *m_server; }

    /// @brief Announces in all further responses that their connections are closed.
    void closeAfterResponses() { m_isStopping = true; }
    bool isStopping() const override { return m_isStopping; }

    /// @brief Ends all exchanges, each with a final response where one can still be sent.
    void endAll();

    /// @brief Has the deferred requests decided on again at once.
    void retryDeferred();

    /// @brief Refuses all further requests with status 503.
    void refuseNew() { m_refusesNew = true; }

    /// @brief Returns the number of requests that have not been answered yet.
    std::size_t requestsInHand() const { return m_exchanges.size(); }

    /// @brief Returns how many bytes of one response may be buffered.
    std::size_t responseBuffer() const;

    /// @brief Counts a caller's request to a service in the retry budget of the service.
    void recordRequest(const ServiceId &service);

    /// @brief Takes one retry from this instance's share of the service's retry budget.
    /// @return False if the share is used up.
    bool tryAcquireRetry(const ServiceId &service);

    /// @brief Records a failure of the target at an address that another target reported as faulty.
    void recordFaultyAddress(const std::string &address);

    /// @brief Removes an exchange that has ended.
    void removeExchange(const Exchange &exchange);

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   net::RequestBody body) override;
    fleet::CallerLimits limits() const override;
    std::string outOfMemoryFields(const http::RequestHead &head) override
    {
        return outOfMemoryFields(head, RequestSource::Caller);
    }

    void addGauges();

    /// @brief Returns the exchanges, which may end while the caller goes through them.
    std::vector<std::shared_ptr<Exchange>> allExchanges() const;

    /// @brief Ends the requests whose prompts may be sent to no engine any more.
    void endBlocked();
    void resumeAfterConfiguration();

    /// @brief Lets the requests on these engines migrate if a long prefill stalls them.
    void migrateFrom(const std::vector<placement::EngineKey> &engines);

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    PlacementService *m_placement = nullptr;
    TargetPool *m_targets = nullptr;
    MetricsService *m_metrics = nullptr;
    CrashGuard *m_crashes = nullptr;
    ReachService *m_reach = nullptr;
    RelayService *m_relay = nullptr;
    std::shared_ptr<limits::BodyMemory> m_bodyMemory;
    std::unique_ptr<net::HttpServer> m_server;
    std::unordered_map<const Exchange *, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<std::string, limits::RetryBudget> m_budgets; ///< Keyed by service id.
    std::mt19937_64 m_random;
    bool m_isStopping = false;
    bool m_refusesNew = false;
};

} // namespace egretmount::node
