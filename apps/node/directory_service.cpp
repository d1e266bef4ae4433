#include "directory_service.h"

#include <algorithm>

#include <egretmount/membership/member_list.h>

#include "fleet_service.h"
#include "peer_service.h"
#include "platform/documents.h"
#include "platform/messages.h"

namespace egretmount::node {

namespace {

// Callers cache a directory response for this long: short enough that they leave a stopping
// instance before it exits, long enough that lookups cost little compared with requests.
constexpr Milliseconds directoryMaxAge = Milliseconds(1'000);
constexpr std::size_t maxAddresses = 64; // in one response

} // namespace

DirectoryService::DirectoryService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void DirectoryService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    const instance::Settings &settings = m_fleet->settings();
    for (const std::string &address :
         { settings.directoryAddress, settings.readinessAddress, settings.controlAddress }) {
        if (!address.empty())
            m_servers.push_back(std::make_unique<net::HttpServer>(m_reactor, address, *this));
    }
}

void DirectoryService::closeAll()
{
    for (const std::unique_ptr<net::HttpServer> &server : m_servers) {
        server->stopAccepting();
        server->closeIdle(Milliseconds());
        server->refuseIncomplete(503);
    }
}

void DirectoryService::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                                 http::RequestHead head, net::RequestBody)
{
    if (platform::isDirectoryPath(head.target)) {
        connection->respond(200, http::reasonPhrase(200), "Content-Type: application/json\r\n",
                            directoryResponse());
    } else if (platform::isReadinessPath(head.target)) {
        const bool isReady = !m_isStopping && m_fleet->configuration() != nullptr;
        const int status = isReady ? 200 : 503;
        connection->respond(status, http::reasonPhrase(status), {}, {});
    } else {
        connection->respond(404, http::reasonPhrase(404), {}, {});
    }
}

std::vector<std::string> DirectoryService::nextSection()
{
    const std::string &self = m_fleet->settings().host;
    std::vector<std::string> hosts = m_peers->servingHosts();
    const instance::Capacities &capacities = m_peers->capacitiesInUse();
    if (!membership::needsDirectoryPlan(hosts, capacities, maxAddresses))
        return membership::directorySection(std::move(hosts), self, maxAddresses);
    if (hosts != m_plannedHosts || capacities != m_plannedCapacities) {
        m_plan = membership::directoryPlan(hosts, capacities, maxAddresses);
        m_ownPlace = membership::directoryPlace(m_plan, self);
        m_plannedHosts = std::move(hosts);
        m_plannedCapacities = capacities;
    }
    return membership::directorySection(
        m_plan, membership::responsePlace(m_plan, m_ownPlace, m_responses++));
}

std::string DirectoryService::directoryResponse()
{
    const instance::Settings &settings = m_fleet->settings();
    const std::string port = settings.callerAddress.substr(settings.callerAddress.find(':'));
    std::vector<std::string> addresses;
    for (const std::string &host : nextSection())
        addresses.push_back(host + port);
    return platform::directoryBody(addresses, std::min(directoryMaxAge, settings.maxDirectoryTtl));
}

} // namespace egretmount::node
