#include "caller_service.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include "call_relay.h"
#include "config_service.h"
#include "credit_service.h"
#include "dispatch_service.h"
#include "http/headers.h"
#include "metrics_service.h"
#include "once_relay.h"
#include "peer_service.h"
#include "relay.h"
#include "span_relay.h"
#include "status_service.h"
#include "ticket_service.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPResponse;

namespace {

constexpr const char *jsonType = "application/json";
constexpr std::string_view bearer = "Bearer ";
constexpr int callerWeight = 100;
constexpr Milliseconds notReadyRetryAfter = 1'000_ms;
constexpr std::size_t maxRequestIdBytes = 128;

std::string stringify(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

std::string tokenOf(const http::Exchange &exchange)
{
    const std::string value = exchange.header("Authorization");
    if (value.compare(0, bearer.size(), bearer) != 0)
        return {};
    return value.substr(bearer.size());
}

bool isPlainName(const std::string &text)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxRequestIdBytes
           && std::all_of(text.begin(), text.end(), isAllowed);
}

// A caller that resumes states the offset of the last token that it has.
Result<TokenCount> readNextOffset(const http::Exchange &exchange, TokenCount maxTokens)
{
    const std::string text = exchange.header(http::lastEventIdHeader);
    Poco::Int64 last = -1;
    const bool isRead = text.empty() || (Poco::NumberParser::tryParse64(text, last) && last >= 0);
    if (!isRead || last >= maxTokens)
        return fail(ErrorId::MalformedRequest, Verdict::NotRun,
                    "the last event id is not the offset of a token");
    return last + 1;
}

/// Counts a request while it is being served; one that will be refused is not counted.
class CurrentRequest
{
public:
    CurrentRequest(std::atomic<int> &count, bool isCounted)
        : m_count(count)
        , m_share(isCounted ? 1 : 0)
    {
        m_count += m_share;
    }
    ~CurrentRequest() { m_count -= m_share; }
    CurrentRequest(const CurrentRequest &) = delete;
    CurrentRequest &operator=(const CurrentRequest &) = delete;

private:
    std::atomic<int> &m_count;
    int m_share;
};

http::ServerLimits limitsFrom(const EntrySettings &settings)
{
    http::ServerLimits limits;
    limits.maxThreads = settings.maxRequests;
    return limits;
}

} // namespace

CallerService::CallerService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                             const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_settings(settings)
    , m_server(limitsFrom(settings))
{ }

void CallerService::start()
{
    m_server.route("GET", "/v1/locate", [this](http::Exchange &e) { locate(e); });
    m_server.route("POST", "/v1/completions", [this](http::Exchange &e) { complete(e); });
    m_server.route("POST", "/v1/calls/", [this](http::Exchange &e) { call(e); });
    m_server.route("POST", "/v1/tickets/", [this](http::Exchange &e) { issueTicket(e); });
    m_server.route("GET", "/health/ready", [this](http::Exchange &e) { sendReadiness(e); });
    m_server.route("GET", "/health/live", [](http::Exchange &e) {
        e.send(HTTPResponse::HTTP_OK, jsonType, "{\"live\":true}");
    });
    http::Server &pages = m_settings.operatorsAddress.empty() ? m_server : m_operatorsServer;
    m_registry.find<StatusService>().addRoutes(pages);
    m_registry.find<MetricsService>().addRoutes(pages);
    if (!m_settings.operatorsAddress.empty())
        m_operatorsServer.start(m_settings.operatorsAddress);
    m_server.start(m_settings.httpAddress);
    LOG(INFO) << "callers: listening address=" << m_settings.httpAddress;
}

void CallerService::stop()
{
    m_server.stop();
    m_operatorsServer.stop();
}

void CallerService::locate(http::Exchange &exchange)
{
    const std::vector<membership::ListedInstance> callable = m_loop.call([this] {
        const PeerService &peers = m_registry.find<PeerService>();
        return membership::callableInstances(peers.membership(), peers.isDraining(),
                                             monotonicNow());
    });
    Poco::JSON::Array instances;
    for (const membership::ListedInstance &instance : callable) {
        Poco::JSON::Object row;
        row.set("instance", instance.id.value);
        row.set("zone", instance.zone.value);
        row.set("address", instance.httpAddress);
        row.set("weight", callerWeight);
        instances.add(row);
    }
    Poco::JSON::Object answer;
    answer.set("instances", instances);
    answer.set("tickets", "/v1/tickets/");
    answer.set("max_age_ms", m_settings.locateMaxAge.count());
    const std::int64_t maxAgeSeconds = m_settings.locateMaxAge.count() / 1000;
    exchange.response().set("Cache-Control", "max-age=" + std::to_string(maxAgeSeconds));
    exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(answer));
}

void CallerService::complete(http::Exchange &exchange)
{
    const CurrentRequest current(m_current, !m_isRefusing);
    const AnswerCount counted(m_registry, exchange, true);
    const Milliseconds arrival = monotonicNow();
    const Result<std::string> body = exchange.readBody(m_settings.maxBodyBytes);
    if (!body)
        return exchange.sendError(body.error());
    const Result<CompletionBody> completion = readCompletionBody(*body);
    if (!completion)
        return exchange.sendError(completion.error());
    Result<Request> request = makeRequest(exchange, completion->service);
    if (!request)
        return exchange.sendError(request.error());
    request->arrival = arrival;
    request->promptBytes = completion->promptBytes;
    request->promptTokens = m_registry.find<DispatchService>().estimateTokens(*request);
    request->maxTokens = completion->maxTokens;
    const Result<TokenCount> nextOffset = readNextOffset(exchange, completion->maxTokens);
    if (!nextOffset)
        return exchange.sendError(nextOffset.error());
    if (m_registry.find<DispatchService>().needsSpan(*request))
        return SpanRelay(m_registry, exchange, *request, *body, *nextOffset).run();
    CompletionRelay relay(m_registry, exchange, *request, *body, *nextOffset);
    relay.run();
}

void CallerService::call(http::Exchange &exchange)
{
    const CurrentRequest current(m_current, !m_isRefusing);
    const AnswerCount counted(m_registry, exchange, false);
    std::string body;
    const Result<Request> request = makeCallRequest(exchange, body);
    if (!request) {
        // The ticket may have been used before; this instance has not looked.
        Error error = request.error();
        if (!exchange.header(http::ticketHeader).empty())
            error.verdict = Verdict::MayHaveRun;
        return exchange.sendError(error);
    }
    if (request->isRepeatable)
        return relayCall(m_registry, exchange, *request, body);
    OnceRelay(m_registry, exchange, *request, body).run();
}

Result<Request> CallerService::makeCallRequest(http::Exchange &exchange, std::string &body) const
{
    const Milliseconds arrival = monotonicNow();
    Result<std::string> read = exchange.readBody(m_settings.maxBodyBytes);
    if (!read)
        return tl::make_unexpected(read.error());
    body = std::move(*read);
    const std::string service = exchange.pathSuffix().substr(0, exchange.pathSuffix().find('/'));
    Result<Request> request = makeRequest(exchange, ServiceId(service));
    if (request)
        request->arrival = arrival;
    return request;
}

void CallerService::issueTicket(http::Exchange &exchange)
{
    const CurrentRequest current(m_current, !m_isRefusing);
    const ServiceId service(exchange.pathSuffix());
    const Result<Request> request = makeRequest(exchange, service);
    if (!request)
        return exchange.sendError(request.error());
    if (request->isRepeatable) {
        return exchange.sendError({ ErrorId::MalformedRequest, Verdict::NotRun,
                                    "calls of this service need no ticket", Milliseconds() });
    }
    const Result<std::string> ticket =
        m_registry.find<TicketService>().issue(request->team, service);
    if (!ticket)
        return exchange.sendError(ticket.error());
    Poco::JSON::Object answer;
    answer.set("ticket", *ticket);
    answer.set("address", m_settings.httpAddress);
    answer.set("path", "/v1/calls/" + service.value);
    answer.set("lifetime_ms", m_settings.ticketLifetime.count());
    exchange.response().set("Cache-Control", "no-store");
    exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(answer));
}

void CallerService::sendReadiness(http::Exchange &exchange)
{
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const bool isDraining =
        m_loop.call([this] { return m_registry.find<PeerService>().isDraining(); });
    const bool isSettled =
        m_loop.call([this] { return m_registry.find<CreditService>().isSettled(); });
    Poco::JSON::Object answer;
    const bool isReady = document && !isDraining && isSettled;
    answer.set("ready", isReady);
    answer.set("config_version", document ? document->version : 0);
    exchange.send(isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                  jsonType, stringify(answer));
}

Result<Request> CallerService::makeRequest(http::Exchange &exchange, const ServiceId &service) const
{
    if (m_isRefusing)
        return fail(ErrorId::ShuttingDown, Verdict::NotRun, "this instance leaves; locate another",
                    notReadyRetryAfter);
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    if (!document)
        return fail(ErrorId::NotReady, Verdict::NotRun, "no fleet document is known yet",
                    notReadyRetryAfter);
    const std::string token = tokenOf(exchange);
    const config::Team *team = token.empty() ? nullptr : config::findTeamByToken(*document, token);
    if (!team)
        return fail(ErrorId::Unauthenticated, Verdict::NotRun, "the team token is not known");
    const config::Service *known = config::findService(*document, service);
    if (!known)
        return fail(ErrorId::UnknownService, Verdict::NotRun, "no such service");

    Poco::Int64 left = m_settings.defaultDeadline.count();
    const std::string stated = exchange.header(http::deadlineHeader);
    if (!stated.empty() && !Poco::NumberParser::tryParse64(stated, left))
        return fail(ErrorId::MalformedRequest, Verdict::NotRun,
                    "the deadline is not a number of milliseconds");
    if (left <= 0)
        return fail(ErrorId::DeadlinePassed, Verdict::NotRun, "the deadline has passed");

    Request request;
    const std::string id = exchange.header(http::requestIdHeader);
    if (!id.empty() && !isPlainName(id))
        return fail(ErrorId::MalformedRequest, Verdict::NotRun, "the request id is not a name");
    request.id = RequestId(
        id.empty() ? Poco::UUIDGenerator::defaultGenerator().createRandom().toString() : id);
    request.team = team->id;
    request.service = service;
    request.isRepeatable = known->calls == config::CallPolicy::Repeatable;
    request.deadline = monotonicNow() + std::min(Milliseconds(left), m_settings.maxDeadline);
    const config::Priority *priority = config::findPriority(*document, team->priority);
    request.priority = priority ? priority->level : 0;
    return request;
}

} // namespace egretmount::entry
