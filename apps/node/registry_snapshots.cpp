#include "registry_snapshots.h"

#include <glog/logging.h>

#include <egretmount/membership/registry_sync.h>

#include "fleet_service.h"

namespace egretmount::node {

namespace {

// Minimum time between two fetches. A snapshot usually arrives within tens of milliseconds.
constexpr Milliseconds minFetchInterval = Milliseconds(50);

// Limits the large responses per window. After a restart of the whole fleet, all instances fetch
// from the first one that has a snapshot. Sending one takes about 30 ms on the slowest link
// (20 Mbit/s), so a few per 200 ms leave bandwidth for callers.
constexpr Milliseconds servingWindow = Milliseconds(200);
constexpr int largeResponsesPerWindow = static_cast<int>(membership::changeFanout);
constexpr std::size_t largeResponseBytes = 32UL * 1024;

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
    if (isFetching() || now - m_lastFetchAt < minFetchInterval)
        return;
    m_lastFetchAt = now;
    useClientOf(host);
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

void RegistrySnapshots::fetchChanges(const std::string &host, platform::Revision after,
                                     platform::StoreClient::Done done)
{
    if (isFetching())
        return;
    useClientOf(host);
    m_client->watch(after, Milliseconds(), std::move(done));
}

void RegistrySnapshots::useClientOf(const std::string &host)
{
    if (m_client && m_clientHost == host)
        return;
    m_clientHost = host;
    m_client = std::make_unique<platform::StoreClient>(
        m_reactor, host + ':' + std::to_string(m_fleet->settings().firstPeerPort));
}

void RegistrySnapshots::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                                  http::RequestHead head, std::string)
{
    int status = 200;
    const std::string body = responseBody(head.target, status);
    connection->respond(status, http::reasonPhrase(status), "Content-Type: application/json\r\n",
                        body);
}

std::string RegistrySnapshots::responseBody(const std::string &target, int &status)
{
    const Milliseconds now = m_reactor.now();
    if (now - m_windowStartedAt >= servingWindow) {
        m_windowStartedAt = now;
        m_servedInWindow = 0;
    }
    const std::optional<std::variant<platform::ContentsCall, platform::ChangesCall>> call =
        platform::readSnapshotCall(target);
    if (!call) {
        status = 404;
        return {};
    }
    if (m_own.isEmpty() || m_servedInWindow >= largeResponsesPerWindow) {
        status = 503;
        return {};
    }
    const platform::ChangesCall *changes = std::get_if<platform::ChangesCall>(&*call);
    const std::optional<std::string> body =
        changes != nullptr ? m_own.changesBody(changes->after) : m_own.body();
    if (!body) {
        status = 410; // the removals after that revision are no longer known
        return {};
    }
    m_servedInWindow += body->size() >= largeResponseBytes ? 1 : 0;
    return *body;
}

} // namespace egretmount::node
