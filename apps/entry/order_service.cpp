#include "order_service.h"

#include <Poco/Exception.h>
#include <glog/logging.h>

#include <egretmount/membership/selection.h>

#include "config_service.h"
#include "http/client.h"
#include "http/engine_orders.h"
#include "peer_service.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr Milliseconds roundInterval = 500_ms;
constexpr Milliseconds callTimeout = 1'000_ms;

// A decision older than this was made before a pause of the process.
constexpr Milliseconds decisionLifetime = 200_ms;

} // namespace

OrderService::OrderService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                           const EntrySettings &settings)
    : m_registry(registry)
    , m_senderToken(settings.senderToken)
    , m_worker(loop)
{ }

OrderService::~OrderService()
{
    OrderService::stop();
}

void OrderService::start()
{
    m_worker.start([this] { run(); });
}

void OrderService::stop()
{
    m_worker.stop();
}

void OrderService::run()
{
    while (!m_worker.isStopping()) {
        try {
            const std::vector<config::Target> targets =
                m_worker.onLoop<std::vector<config::Target>>([this] { return ownTargets(); });
            for (const config::Target &target : targets)
                lookAfter(target);
        } catch (const std::exception &error) {
            LOG_EVERY_N(WARNING, 20) << "orders: a round failed reason=\"" << error.what() << '"';
        }
        m_worker.pause(roundInterval);
    }
}

void OrderService::lookAfter(const config::Target &target)
{
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(target.address, http::ordersPath, callTimeout);
        const Result<config::EngineReport> report = http::readEngineReport(reply->body);
        if (!report)
            return;
        const Decision decision = m_worker.onLoop<Decision>(
            [this, id = target.id, report = *report] { return decide(id, report); });
        if (decision.order)
            send(target, decision);
    } catch (const Poco::Exception &error) {
        LOG_EVERY_N(INFO, 20) << "orders: an engine cannot be asked target=" << target.id.value
                              << " reason=\"" << error.displayText() << '"';
    }
}

void OrderService::send(const config::Target &target, const Decision &decision)
{
    if (monotonicNow() - decision.at > decisionLifetime)
        return;
    HTTPRequest request(HTTPRequest::HTTP_POST, http::ordersPath, HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.set(http::senderHeader, m_senderToken);
    const std::unique_ptr<http::Reply> reply =
        http::fetch(target.address, request, http::writeOrder(*decision.order), callTimeout);
    LOG(INFO) << "orders: sent an order target=" << target.id.value
              << " fence=" << decision.order->fence << " status=" << reply->status();
}

std::vector<config::Target> OrderService::ownTargets() const
{
    std::vector<config::Target> own;
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const PeerService &peers = m_registry.find<PeerService>();
    if (!document || peers.isDraining() || !isViewFresh())
        return own;
    const membership::InstanceList callable =
        membership::callableInstances(peers.membership(), false, monotonicNow());
    for (const config::Target &target : document->targets) {
        const config::Service *service = config::findService(*document, target.service);
        const bool isEngine = service && service->kind == config::ServiceKind::Engine;
        if (isEngine
            && membership::chooseCoordinator(callable, target.id.value)
                   == peers.self().run.instance)
            own.push_back(target);
    }
    return own;
}

OrderService::Decision OrderService::decide(const TargetId &id,
                                            const config::EngineReport &report) const
{
    Decision decision;
    decision.at = monotonicNow();
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const config::Target *target = document ? config::findTarget(*document, id) : nullptr;
    if (target && isViewFresh())
        decision.order = config::orderFor(*document, *target, report);
    return decision;
}

// Since the last pause of the process a peer has answered, or some instance read the platform.
bool OrderService::isViewFresh() const
{
    const membership::MembershipState &membership = m_registry.find<PeerService>().membership();
    const config::PollState &reading = m_registry.find<ConfigService>().reading();
    return membership::isViewFresh(membership)
           || (reading.hasBeenRead && reading.lastReadAt >= membership.staleBefore);
}

} // namespace egretmount::entry
