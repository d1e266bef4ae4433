#include "registry_snapshots.h"

#include <glog/logging.h>

#include <egretmount/membership/registry_sync.h>

#include "fleet_service.h"
#include "net/deflate.h"

namespace egretmount::node {

namespace {

// Minimum time between two fetches. A snapshot usually arrives within tens of milliseconds.
constexpr Milliseconds minFetchInterval = Milliseconds(50);

// A large configuration reaches several instances at a time over the link of one.
constexpr Milliseconds fetchTimeout = Milliseconds(1'500);

// Smaller bodies are not worth the time to compress them.
constexpr std::size_t minDeflatedBytes = 4UL * 1024;

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
        LOG(INFO) << "copies: snapshot fetched from=" << host << " version=" << page->version
                  << " items=" << page->items.size();
        done(std::move(*page));
    });
}

void RegistrySnapshots::fetchChanges(const std::string &host,
                                     const platform::RegistryVersion &after,
                                     platform::StoreClient::Done done)
{
    if (isFetching())
        return;
    useClientOf(host);
    m_client->fetchChanges(after, std::move(done));
}

void RegistrySnapshots::useClientOf(const std::string &host)
{
    if (m_client && m_clientHost == host)
        return;
    m_clientHost = host;
    m_client = std::make_unique<platform::StoreClient>(
        m_reactor, host + ':' + std::to_string(m_fleet->settings().firstPeerPort),
        net::BodyEncoding::Deflate, fetchTimeout);
}

void RegistrySnapshots::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                                  http::RequestHead head, net::RequestBody)
{
    const std::optional<std::variant<platform::ContentsCall, platform::ChangesCall>> call =
        platform::readSnapshotCall(head.target);
    if (!call) {
        connection->respond(404, http::reasonPhrase(404), {}, {});
        return;
    }
    const Milliseconds now = m_reactor.now();
    if (now - m_windowStartedAt >= servingWindow) {
        m_windowStartedAt = now;
        m_servedInWindow = 0;
    }
    if (m_own.isEmpty() || m_servedInWindow >= largeResponsesPerWindow) {
        connection->respond(503, http::reasonPhrase(503), {}, {});
        return;
    }
    const platform::ChangesCall *changes = std::get_if<platform::ChangesCall>(&*call);
    const Response &response =
        responseTo(changes != nullptr ? std::optional<platform::RegistryVersion>(changes->after)
                                      : std::nullopt);
    std::string fields = "Content-Type: application/json\r\n";
    platform::appendStoreEra(fields, response.version.era);
    if (response.isDeflated)
        fields += "Content-Encoding: deflate\r\n";
    m_servedInWindow += response.body.size() >= largeResponseBytes ? 1 : 0;
    connection->respond(response.status, http::reasonPhrase(response.status), fields,
                        response.body);
}

const RegistrySnapshots::Response &
RegistrySnapshots::responseTo(const std::optional<platform::RegistryVersion> &after)
{
    // Several instances fetch the same changes at about the same time.
    if (m_response.version == m_own.version() && m_response.after == after)
        return m_response;
    const std::optional<std::string> body = after ? m_own.changesBody(*after) : m_own.body();
    m_response = { m_own.version(), after, body ? 200 : 410, false, body.value_or("") };
    if (m_response.body.size() >= minDeflatedBytes) {
        m_response.body = net::deflate(m_response.body);
        m_response.isDeflated = true;
    }
    return m_response;
}

} // namespace egretmount::node
