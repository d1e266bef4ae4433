#include "ingress_service.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/limits/response_buffer.h>
#include <egretmount/limits/target_notices.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "placement_service.h"
#include "reach_service.h"
#include "relay_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Requests that waited for the configuration resume at random times within this period. After a
// restart of the whole fleet, all instances would otherwise resume at the same time and choose the
// same targets. Other instances learn of a placement about 5 ms later, so the placements of
// different instances should be a few milliseconds apart for each target.
constexpr Milliseconds maxResumeDelay = Milliseconds(200);
// Retry-After of a request whose body takes too much memory: others end within this time.
constexpr Milliseconds memoryRetryAfter = Milliseconds(500);

// Fields of a response which states that the request was not executed.
std::string refusalFields(const http::RequestHead &head, Milliseconds retryAfter,
                          RequestSource source)
{
    std::string fields;
    platform::appendRequestId(fields, platform::readCallerFields(head).requestId);
    platform::appendRetryAfter(fields, retryAfter);
    if (source == RequestSource::Instance)
        platform::appendNotExecuted(fields);
    return fields;
}

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
    m_crashes = &m_registry.find<CrashGuard>();
    m_reach = &m_registry.find<ReachService>();
    m_relay = &m_registry.find<RelayService>();
    m_bodyMemory = std::make_shared<limits::BodyMemory>(
        limits::bodyMemory(m_fleet->settings().capacity.memoryMb));
    addGauges();
    m_fleet->onConfigured([this] { resumeAfterConfiguration(); });
    m_placement->onLongPrefill(
        [this](const std::vector<placement::EngineKey> &engines) { migrateFrom(engines); });
    m_crashes->onBlocked([this] { endBlocked(); });
    m_server =
        std::make_unique<net::HttpServer>(m_reactor, m_fleet->settings().callerAddress, *this);
}

void IngressService::addGauges()
{
    m_metrics->addGauge("requests_in_hand",
                        [this] { return static_cast<double>(m_exchanges.size()); });
    m_metrics->addGauge("request_body_bytes",
                        [this] { return static_cast<double>(m_bodyMemory->used); });
    m_metrics->addGauge("living_instances",
                        [this] { return static_cast<double>(m_peers->livingCount()); });
    m_metrics->addGauge("configuration_version", [this] {
        return static_cast<double>(m_fleet->confirmedConfigurationVersion());
    });
    m_metrics->addGauge("targets",
                        [this] { return static_cast<double>(m_fleet->table().targets.size()); });
}

std::vector<std::shared_ptr<Exchange>> IngressService::allExchanges() const
{
    std::vector<std::shared_ptr<Exchange>> exchanges;
    for (const auto &[key, exchange] : m_exchanges)
        exchanges.push_back(exchange);
    return exchanges;
}

void IngressService::endAll()
{
    for (const std::shared_ptr<Exchange> &exchange : allExchanges())
        exchange->stop();
}

void IngressService::retryDeferred()
{
    for (const std::shared_ptr<Exchange> &exchange : allExchanges())
        exchange->retryDeferred();
}

void IngressService::endBlocked()
{
    for (const std::shared_ptr<Exchange> &exchange : allExchanges())
        exchange->onBlocked();
}

std::size_t IngressService::responseBuffer() const
{
    return limits::responseBuffer(m_fleet->settings().capacity.memoryMb, m_exchanges.size());
}

void IngressService::recordRequest(const ServiceId &service)
{
    limits::recordRequest(m_budgets[service.value], m_fleet->settings().retryBound,
                          m_reactor.now());
}

bool IngressService::tryAcquireRetry(const ServiceId &service)
{
    return limits::tryAcquireRetry(m_budgets[service.value], m_fleet->settings().retryBound,
                                   m_peers->livingCount(), m_reactor.now());
}

void IngressService::recordFaultyAddress(const std::string &address)
{
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.address == address)
            m_targets->recordFailure(keyOf(id), true);
    }
}

void IngressService::removeExchange(const Exchange &exchange)
{
    m_exchanges.erase(&exchange);
}

void IngressService::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                               http::RequestHead head, net::RequestBody body)
{
    accept(connection, std::move(head), std::move(body), RequestSource::Caller);
}

void IngressService::accept(const std::shared_ptr<net::ServerConnection> &connection,
                            http::RequestHead head, net::RequestBody body, RequestSource source)
{
    if (m_refusesNew) {
        connection->respond(503, http::reasonPhrase(503),
                            refusalFields(head, stoppingRetryAfter, source), {});
        LOG(INFO) << "ingress: refused status=503 reason=\"stopping\"";
        return;
    }
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
        ExchangeServices { m_reactor, *m_fleet, *m_placement, *m_targets, *this, *m_metrics,
                           *m_crashes, *m_reach, *m_relay },
        connection, std::move(head), std::move(body), source);
    m_exchanges.emplace(exchange.get(), exchange);
    const double randomValue = std::uniform_real_distribution<double>(0, 1)(m_random);
    exchange->start(randomValue);
}

std::string IngressService::outOfMemoryFields(const http::RequestHead &head, RequestSource source)
{
    m_metrics->countRefusal("no-memory");
    const std::string id = platform::readCallerFields(head).requestId;
    return refusalFields(head, limits::spreadReturn(memoryRetryAfter, stableHash(id)), source);
}

void IngressService::resumeAfterConfiguration()
{
    std::uniform_int_distribution<std::int64_t> delays(0, maxResumeDelay.count());
    for (const auto &[key, exchange] : m_exchanges) {
        m_reactor.after(Milliseconds(delays(m_random)), [weak = std::weak_ptr<Exchange>(exchange)] {
            if (const std::shared_ptr<Exchange> resumed = weak.lock())
                resumed->onConfigured();
        });
    }
}

void IngressService::migrateFrom(const std::vector<placement::EngineKey> &engines)
{
    std::vector<std::shared_ptr<Exchange>> affected;
    for (const auto &[key, exchange] : m_exchanges) {
        if (std::find(engines.begin(), engines.end(), exchange->engine()) != engines.end())
            affected.push_back(exchange);
    }
    for (const std::shared_ptr<Exchange> &exchange : affected)
        exchange->migrate();
}

fleet::CallerLimits IngressService::limits() const
{
    return m_fleet->configuration() ? m_fleet->configuration()->limits : fleet::CallerLimits();
}

} // namespace egretmount::node
