#include "ingress_service.h"

#include <algorithm>

#include <glog/logging.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "placement_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// After a restart of the whole fleet all instances resume at once and would choose the same
// targets: a placement is known to the others some 5 ms later, so a request each few milliseconds
// and target is what they can tell apart.
constexpr Milliseconds resumptionSpread = Milliseconds(200);
constexpr Milliseconds connectionSweep = Milliseconds(1'000);

} // namespace

IngressService::IngressService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_random(std::random_device()())
{ }

IngressService::~IngressService() = default;

void IngressService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_placement = &m_registry.find<PlacementService>();
    m_targets = &m_registry.find<TargetPool>();
    m_metrics = &m_registry.find<MetricsService>();
    addGauges();
    m_fleet->onConfigured([this] { resumeWaiting(); });
    m_placement->onLongReading(
        [this](const std::vector<placement::EngineKey> &engines) { relocateFrom(engines); });
    m_listener = net::Listener::open(
        m_reactor, m_fleet->settings().callerAddress,
        [this](const Poco::Net::StreamSocket &socket) {
            m_connections.push_back(net::ServerConnection::serve(m_reactor, socket, *this));
        });
    m_reactor.every(connectionSweep, [this] {
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const std::weak_ptr<net::ServerConnection> &weak) {
                                               return weak.expired();
                                           }),
                            m_connections.end());
    });
}

void IngressService::addGauges()
{
    m_metrics->addGauge("requests_in_hand",
                        [this] { return static_cast<double>(m_exchanges.size()); });
    m_metrics->addGauge("living_instances",
                        [this] { return static_cast<double>(m_peers->livingCount()); });
    m_metrics->addGauge("configuration_version", [this] {
        return m_fleet->configuration() ? static_cast<double>(m_fleet->configuration()->version)
                                        : 0;
    });
    m_metrics->addGauge("targets",
                        [this] { return static_cast<double>(m_fleet->table().targets.size()); });
}

void IngressService::stopAccepting()
{
    m_isStopping = true;
    m_listener->close();
    for (const std::weak_ptr<net::ServerConnection> &weak : m_connections) {
        if (const std::shared_ptr<net::ServerConnection> connection = weak.lock())
            connection->closeIfIdle();
    }
}

void IngressService::endAll()
{
    std::vector<std::shared_ptr<Exchange>> exchanges;
    for (const auto &[key, exchange] : m_exchanges)
        exchanges.push_back(exchange);
    for (const std::shared_ptr<Exchange> &exchange : exchanges)
        exchange->stop();
}

void IngressService::noteRequest(const ServiceId &service)
{
    limits::noteRequest(m_budgets[service.value], m_fleet->settings().retryBound, m_reactor.now());
}

bool IngressService::takeRepeat(const ServiceId &service)
{
    return limits::takeRepeat(m_budgets[service.value], m_fleet->settings().retryBound,
                              m_peers->livingCount(), m_reactor.now());
}

void IngressService::noteFaultyAddress(const std::string &address)
{
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.address == address)
            m_targets->noteFailure(keyOf(id), true);
    }
}

void IngressService::forget(const Exchange &exchange)
{
    m_exchanges.erase(&exchange);
}

void IngressService::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                               http::RequestHead head, std::string body)
{
    m_lastRequestAt = m_reactor.now();
    if (m_refusesNew) {
        std::string fields;
        platform::appendRetryAfter(fields, stoppingRetryDelay);
        connection->respond(503, http::reasonPhrase(503), fields, {});
        LOG(INFO) << "ingress: refused status=503 reason=\"stopping\"";
        return;
    }
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
        ExchangeServices { m_reactor, *m_fleet, *m_placement, *m_targets, *this, *m_metrics },
        connection, std::move(head), std::move(body));
    m_exchanges.emplace(exchange.get(), exchange);
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    exchange->start(draw);
}

void IngressService::resumeWaiting()
{
    std::uniform_int_distribution<std::int64_t> delays(0, resumptionSpread.count());
    for (const auto &[key, exchange] : m_exchanges) {
        m_reactor.after(Milliseconds(delays(m_random)), [weak = std::weak_ptr<Exchange>(exchange)] {
            if (const std::shared_ptr<Exchange> resumed = weak.lock())
                resumed->noteConfigured();
        });
    }
}

void IngressService::relocateFrom(const std::vector<placement::EngineKey> &engines)
{
    std::vector<std::shared_ptr<Exchange>> stalled;
    for (const auto &[key, exchange] : m_exchanges) {
        if (std::find(engines.begin(), engines.end(), exchange->engine()) != engines.end())
            stalled.push_back(exchange);
    }
    for (const std::shared_ptr<Exchange> &exchange : stalled)
        exchange->relocate();
}

fleet::CallerLimits IngressService::limits() const
{
    return m_fleet->configuration() ? m_fleet->configuration()->limits : fleet::CallerLimits();
}

} // namespace egretmount::node
