#include "registry_copies.h"

#include <glog/logging.h>

#include "fleet_service.h"

namespace egretmount::node {

namespace {

// Between two questions; a copy arrives within some ten milliseconds.
constexpr Milliseconds askInterval = Milliseconds(50);

// After a restart of the whole fleet everybody asks the first that knows: a copy takes some 30 ms
// of the slowest link (20 Mbit/s), so four of them leave it room for callers.
constexpr Milliseconds servingWindow = Milliseconds(200);
constexpr int copiesPerWindow = 4;

} // namespace

RegistryCopies::RegistryCopies(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void RegistryCopies::start()
{
    m_fleet = &m_registry.find<FleetService>();
    const instance::Settings &settings = m_fleet->settings();
    m_listener =
        net::Listener::open(m_reactor, settings.host + ':' + std::to_string(settings.firstPeerPort),
                            [this](const Poco::Net::StreamSocket &socket) {
                                net::ServerConnection::serve(m_reactor, socket, *this);
                            });
}

void RegistryCopies::ask(const std::string &host, std::function<void(platform::RegistryPage)> done)
{
    const Milliseconds now = m_reactor.now();
    if ((m_client && m_client->isBusy()) || now - m_askedAt < askInterval)
        return;
    m_askedAt = now;
    m_client = std::make_unique<platform::StoreClient>(
        m_reactor, host + ':' + std::to_string(m_fleet->settings().firstPeerPort));
    m_client->list("", [host, done = std::move(done)](
                           tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
        if (!page) {
            LOG(INFO) << "copies: none from=" << host << " reason=" << nameOf(page.error());
            return;
        }
        LOG(INFO) << "copies: read from=" << host << " revision=" << page->revision
                  << " items=" << page->items.size();
        done(std::move(*page));
    });
}

void RegistryCopies::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                               http::RequestHead head, std::string)
{
    const Milliseconds now = m_reactor.now();
    if (now - m_servedSince >= servingWindow) {
        m_servedSince = now;
        m_served = 0;
    }
    int status = 200;
    if (!platform::isRangePath(head.target))
        status = 404;
    else if (m_own.isEmpty() || m_served >= copiesPerWindow)
        status = 503;
    else
        ++m_served;
    connection->respond(status, http::reasonPhrase(status), "Content-Type: application/json\r\n",
                       status == 200 ? m_own.body() : std::string());
}

} // namespace egretmount::node
