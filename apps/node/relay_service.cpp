#include "relay_service.h"

#include <algorithm>

#include <egretmount/instance/capacity.h>
#include <glog/logging.h>

#include "fleet_service.h"
#include "ingress_service.h"
#include "peer_service.h"
#include "reach_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// The first peer port serves copies of the registry.
int relayPort(const instance::Settings &settings)
{
    return settings.firstPeerPort + 1;
}

// Ids of instances are apart from those of targets.
const std::string idPrefix = "instance ";

TargetId idOf(const std::string &host)
{
    return TargetId(idPrefix + host);
}

// Bytes that the header of a request may grow by when it is passed on.
constexpr std::size_t headerAllowance = 1'024;

} // namespace

RelayService::RelayService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_random(std::random_device()())
{ }

void RelayService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_ingress = &m_registry.find<IngressService>();
    m_peers = &m_registry.find<PeerService>();
    m_reach = &m_registry.find<ReachService>();
    m_targets = &m_registry.find<TargetPool>();
    const instance::Settings &settings = m_fleet->settings();
    m_server = std::make_unique<net::HttpServer>(
        m_reactor, settings.host + ':' + std::to_string(relayPort(settings)), *this);
}

bool RelayService::isNeeded() const
{
    return m_reach->reachesNone();
}

std::optional<Placement> RelayService::place(const std::set<TargetId> &excluded)
{
    std::optional<std::string> best;
    double bestCost = 0;
    std::uniform_real_distribution<double> uniform(0, 1);
    const instance::Capacities &capacities = m_peers->capacitiesInUse();
    const instance::CapacityRange range = instance::rangeOf(m_peers->living(), capacities);
    for (const std::string &host : m_peers->reachingHosts()) {
        const TargetId id = idOf(host);
        if (excluded.count(id) > 0)
            continue;
        const TargetHealth &health = m_targets->health(keyOf(id));
        const double cost =
            instance::relayCost(health.inFlight, health.failuresInRow,
                                instance::capacityOf(capacities, host), range, uniform(m_random));
        if (!best || cost < bestCost) {
            best = host;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    Placement placement;
    placement.isRelay = true;
    placement.target.id = idOf(*best);
    placement.target.address = *best + ':' + std::to_string(relayPort(m_fleet->settings()));
    return placement;
}

bool RelayService::hasReceiver() const
{
    return !m_peers->reachingHosts().empty();
}

bool RelayService::mayReceive(const TargetId &instance) const
{
    const std::vector<std::string> hosts = m_peers->reachingHosts();
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](const std::string &host) { return idOf(host) == instance; });
}

void RelayService::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                             http::RequestHead head, net::RequestBody body)
{
    m_ingress->accept(connection, std::move(head), std::move(body), RequestSource::Instance);
}

bool RelayService::isStopping() const
{
    return m_ingress->isStopping();
}

std::shared_ptr<limits::BodyMemory> RelayService::bodyMemory() const
{
    return m_ingress->bodyMemory();
}

std::string RelayService::outOfMemoryFields(const http::RequestHead &head)
{
    return m_ingress->outOfMemoryFields(head, RequestSource::Instance);
}

fleet::CallerLimits RelayService::limits() const
{
    fleet::CallerLimits limits =
        m_fleet->configuration() ? m_fleet->configuration()->limits : fleet::CallerLimits();
    limits.headerBytes += headerAllowance;
    return limits;
}

} // namespace egretmount::node
