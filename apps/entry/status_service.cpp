#include "status_service.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>

#include <egretmount/routing/explain.h>

#include "caller_service.h"
#include "config_service.h"
#include "dispatch_service.h"
#include "peer_service.h"

namespace egretmount::entry {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

namespace {

constexpr const char *jsonType = "application/json";

std::string stringify(const Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Array listedRows(const membership::MembershipState &membership, Milliseconds now)
{
    Array rows;
    for (const membership::ListedInstance &instance : membership.listed) {
        Object row;
        row.set("instance", instance.id.value);
        row.set("zone", instance.zone.value);
        row.set("address", instance.httpAddress);
        row.set("state", std::string(nameOf(instance.state)));
        const bool isSelf = instance.id == membership.self.instance;
        row.set("suspected", !isSelf && membership::isSuspected(membership, instance.id, now));
        rows.add(row);
    }
    return rows;
}

Array targetRows(const std::vector<routing::TargetView> &views)
{
    Array rows;
    for (const routing::TargetView &view : views) {
        Object row;
        row.set("target", view.id.value);
        row.set("service", view.service.value);
        row.set("zone", view.zone.value);
        row.set("new_work", view.acceptsNewWork);
        row.set("slots_share", view.spendable.slots);
        row.set("slots_in_flight", view.inFlight.slots);
        row.set("tokens_share", view.spendable.tokens);
        row.set("tokens_in_flight", view.inFlight.tokens);
        row.set("waiting_prompt_tokens", view.waitingPromptTokens);
        row.set("warm", view.report.isWarm);
        rows.add(row);
    }
    return rows;
}

std::int64_t heardPeers(const membership::MembershipState &membership, Milliseconds now)
{
    std::int64_t count = 0;
    for (const membership::PeerView &peer : membership.peers)
        count += membership::isSuspected(membership, peer.run.instance, now) ? 0 : 1;
    return count;
}

Object explain(const routing::DispatchState &state, const Request &request, Milliseconds now)
{
    const std::optional<TargetId> choice = routing::likelyTarget(state, request, now);
    Array rows;
    for (const routing::TargetView &view : state.targets) {
        const routing::Ineligibility ineligibility = routing::ineligibilityOf(view, request, now);
        if (ineligibility == routing::Ineligibility::OtherService)
            continue;
        Object row;
        row.set("target", view.id.value);
        row.set("obstacle", std::string(nameOf(ineligibility)));
        row.set("reason", view.id == choice ? "chosen: least work before the request"
                                            : routing::describe(ineligibility));
        rows.add(row);
    }
    Object answer;
    answer.set("targets", rows);
    answer.set("summary", choice ? "the request would go to " + choice->value + " now"
                                 : std::string("no target can take the request now"));
    return answer;
}

} // namespace

StatusService::StatusService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                             const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_zone(settings.zone)
{ }

void StatusService::addRoutes(http::Server &server)
{
    server.route("GET", "/v1/status", [this](http::Exchange &e) { sendStatus(e); });
    server.route("GET", "/v1/explain", [this](http::Exchange &e) { sendExplanation(e); });
}

void StatusService::sendStatus(http::Exchange &exchange)
{
    const std::string body = m_loop.call([this] { return statusJson(); });
    exchange.send(HTTPResponse::HTTP_OK, jsonType, body);
}

void StatusService::sendExplanation(http::Exchange &exchange)
{
    Request request;
    request.service = ServiceId(exchange.query("service"));
    Poco::Int64 tokens = 0;
    if (!Poco::NumberParser::tryParse64(exchange.query("tokens", "1000"), tokens) || tokens < 0) {
        return exchange.sendError({ ErrorId::MalformedRequest, Verdict::NotRun,
                                    "tokens is not a number", Milliseconds() });
    }
    request.promptTokens = tokens;
    const std::string body = m_loop.call([this, &request] {
        const DispatchService &dispatch = m_registry.find<DispatchService>();
        return stringify(explain(dispatch.state(), request, monotonicNow()));
    });
    exchange.send(HTTPResponse::HTTP_OK, jsonType, body);
}

std::string StatusService::statusJson() const
{
    const PeerService &peers = m_registry.find<PeerService>();
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const Milliseconds now = monotonicNow();
    Object status;
    status.set("instance", peers.self().run.instance.value);
    status.set("incarnation", peers.self().run.incarnation);
    status.set("zone", m_zone.value);
    status.set("config_version", document ? document->version : 0);
    status.set("draining", peers.isDraining());
    status.set("requests", m_registry.find<CallerService>().current());
    status.set("peers_heard", heardPeers(peers.membership(), now));
    status.set("listed", listedRows(peers.membership(), now));
    status.set("targets", targetRows(m_registry.find<DispatchService>().state().targets));
    return stringify(status);
}

} // namespace egretmount::entry
