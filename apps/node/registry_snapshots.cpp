#include "registry_snapshots.h"

#include <glog/logging.h>

#include "fleet_service.h"

namespace egretmount::node {

namespace {

// Minimum time between two fetches. A snapshot usually arrives within tens of milliseconds.
constexpr Milliseconds minFetchInterval = Milliseconds(50);

// Limits the snapshots served per window. After a restart of the whole fleet, all instances fetch
// from the first one that has a snapshot. Sending one takes about 30 ms on the slowest link
// (20 Mbit/s), so four per 200 ms leave bandwidth for callers.
constexpr Milliseconds servingWindow = Milliseconds(200);
constexpr int snapshotsPerWindow = 4;

} // namespace

RegistrySnapshots::RegistrySnapshots(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void RegistrySnapshots::start()
{
    m_fleet = &m_registry.find<FleetService>();
    const instance::Settings &settings = m_fleet->settings();
    m_listener =
        net::Listener::open(m_reactor, settings.host + ':' + std::to_string(settings.firstPeerPort),
                            [this](const Poco::Net::StreamSocket &socket) {
                                net::ServerConnection::serve(m_reactor, socket, *this);
                            });
}

void RegistrySnapshots::fetchFrom(const std::string &host,
                                  std::function<void(platform::RegistryPage)> done)
{
    const Milliseconds now = m_reactor.now();
    if ((m_client && m_client->isBusy()) || now - m_lastFetchAt < minFetchInterval)
        return;
    m_lastFetchAt = now;
    m_client = std::make_unique<platform::StoreClient>(
        m_reactor, host + ':' + std::to_string(m_fleet->settings().firstPeerPort));
    m_client->list("", [host, done = std::move(done)](
                           tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
        if (!page) {
            LOG(INFO) << "copies: snapshot fetch failed from=" << host
                      << " reason=" << nameOf(page.error());
            return;
        }
        LOG(INFO) << "copies: snapshot fetched from=" << host << " revision=" << page->revision
                  << " items=" << page->items.size();
        done(std::move(*page));
    });
}

void RegistrySnapshots::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                                  http::RequestHead head, std::string)
{
    const Milliseconds now = m_reactor.now();
    if (now - m_windowStartedAt >= servingWindow) {
        m_windowStartedAt = now;
        m_servedInWindow = 0;
    }
    int status = 200;
    if (!platform::isRangePath(head.target))
        status = 404;
    else if (m_own.isEmpty() || m_servedInWindow >= snapshotsPerWindow)
        status = 503;
    else
        ++m_servedInWindow;
    connection->respond(status, http::reasonPhrase(status), "Content-Type: application/json\r\n",
                        status == 200 ? m_own.body() : std::string());
}

} // namespace egretmount::node
