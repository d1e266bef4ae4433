#include "once_relay.h"

#include <Poco/Exception.h>
#include <glog/logging.h>

#include <egretmount/core/digest.h>

#include "call_relay.h"
#include "http/headers.h"
#include "target_call.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using runonce::BeginDecision;
using runonce::BeginKind;
using runonce::CallResponse;
using runonce::WitnessAnswer;

namespace {

constexpr Milliseconds retryAfterVoid = 100_ms;
constexpr Milliseconds retryAfterUnreachable = 1'000_ms;
constexpr const char *authorization = "Authorization";

// Headers of the issuer's answer that its forwarder passes on.
constexpr std::array<const char *, 5> forwardedAnswerHeaders {
    http::verdictHeader, http::errorHeader, http::retryAfterHeader,
    http::targetHeader,  "Retry-After",
};

// The hash of a call; never zero, which stands for a ticket that no call has used.
std::uint64_t fingerprintOf(const std::string &path, const std::string &body)
{
    return digestHash(body, digestHash(path)) | 1U;
}

} // namespace

OnceRelay::OnceRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange, Request request,
                     const std::string &body)
    : m_registry(registry)
    , m_tickets(registry.find<TicketService>())
    , m_exchange(exchange)
    , m_request(std::move(request))
    , m_body(body)
{ }

void OnceRelay::run()
{
    m_exchange.response().set(http::requestIdHeader, m_request.id.value);
    const Result<runonce::Ticket> ticket = readTicket();
    if (!ticket)
        return m_exchange.sendError(ticket.error());
    m_ticket = *ticket;
    const IssuerRoute route = m_tickets.routeTo(m_ticket);
    const bool isForwarded = !m_exchange.header(http::forwardedHeader).empty();
    if (route.isSelf)
        serveAsIssuer();
    else if (route.address.empty() || isForwarded)
        voidTicket();
    else
        forward(route.address);
}

Result<runonce::Ticket> OnceRelay::readTicket() const
{
    const std::string text = m_exchange.header(http::ticketHeader);
    if (text.empty())
        return fail(ErrorId::TicketRequired, Verdict::NotRun,
                    "this call may not be repeated; take a ticket from POST /v1/tickets/"
                        + m_request.service.value);
    Result<runonce::Ticket> ticket = m_tickets.read(text);
    if (ticket && (ticket->team != m_request.team || ticket->service != m_request.service))
        return fail(ErrorId::TicketInvalid, Verdict::NotRun,
                    "the ticket is for another team or service");
    return ticket;
}

void OnceRelay::serveAsIssuer()
{
    const std::uint64_t fingerprint = fingerprintOf(m_exchange.pathSuffix(), m_body);
    const BeginDecision decision = m_tickets.begin(m_ticket, fingerprint, m_request.deadline);
    if (decision.kind != BeginKind::Start)
        return sendCallResult(m_exchange, decision.result);
    Result<CallResponse> result =
        fail(ErrorId::TargetFailed, Verdict::MayHaveRun, "the instance failed", retryAfterFailure);
    try {
        result = execute();
    } catch (const std::exception &error) {
        LOG(ERROR) << "tickets: a call failed reason=\"" << error.what() << '"';
    }
    m_tickets.finish(m_ticket.sequence, result);
    sendCallResult(m_exchange, result);
}

// Until a byte is sent, another target may be tried. A caller that leaves does not end the call, as
// its answer is kept for those who ask again.
Result<CallResponse> OnceRelay::execute()
{
    const std::shared_ptr<RequestWatch> watch = std::make_shared<RequestWatch>(m_request.deadline);
    m_registry.find<WatchService>().add(watch);
    DispatchService &dispatch = m_registry.find<DispatchService>();
    Result<CallResponse> result = fail(ErrorId::TargetFailed, Verdict::NotRun, "");
    const Request admitted = withUniqueId(m_request);
    for (int attempts = 0; attempts < maxAttempts; ++attempts) {
        const Result<Assignment> assignment = requestTarget(dispatch, admitted, nullptr);
        if (!assignment)
            return tl::make_unexpected(assignment.error());
        result = executeAt(*assignment, *watch);
        const bool isBlameless = !result && result.error().id != ErrorId::TargetFailed;
        const Outcome failed = isBlameless ? Outcome::Cancelled : Outcome::Failed;
        dispatch.finish(admitted.id, result ? Outcome::Completed : failed);
        const bool isUnsent = !result && result.error().verdict == Verdict::NotRun;
        if (isBlameless || !isUnsent || !dispatch.tryAcquireRetry())
            break;
    }
    return result;
}

Result<CallResponse> OnceRelay::executeAt(const Assignment &assignment, RequestWatch &watch)
{
    const std::shared_ptr<http::ClientCall> call =
        std::make_shared<http::ClientCall>(assignment.address);
    watch.setCall(call);
    try {
        call->connect(connectTimeout, m_request.deadline - monotonicNow());
    } catch (const Poco::Exception &) {
        if (watch.interruption() == Interruption::DeadlinePassed)
            return tl::make_unexpected(deadlineError(Verdict::NotRun));
        return fail(ErrorId::TargetFailed, Verdict::NotRun, "the target cannot be reached",
                    retryAfterFailure);
    }
    const std::optional<Milliseconds> sendBefore =
        m_tickets.obtainPermit(m_ticket, m_request.deadline);
    const Milliseconds now = monotonicNow();
    if (now >= m_request.deadline)
        return tl::make_unexpected(deadlineError(Verdict::NotRun));
    if (!sendBefore || now >= *sendBefore)
        return fail(ErrorId::PermitRefused, Verdict::NotRun,
                    "the witness gave no permit; take a new ticket", retryAfterVoid);
    HTTPRequest outgoing = makeTargetRequest("/v1/calls/" + m_exchange.pathSuffix(), m_request,
                                             m_registry.find<PeerService>());
    Result<CallResponse> result = exchangeCall(*call, outgoing, m_body, assignment.target);
    watch.setCall(nullptr);
    if (!result && watch.interruption() == Interruption::DeadlinePassed)
        return tl::make_unexpected(deadlineError(Verdict::MayHaveRun));
    return result;
}

void OnceRelay::forward(const std::string &address)
{
    const std::shared_ptr<RequestWatch> watch = std::make_shared<RequestWatch>(
        m_request.deadline, http::ConnectionMonitor(m_exchange.request()));
    m_registry.find<WatchService>().add(watch);
    const std::shared_ptr<http::ClientCall> call = std::make_shared<http::ClientCall>(address);
    watch->setCall(call);
    m_tickets.watchForward(call, m_ticket.issuer);
    HTTPResponse response;
    std::string answer;
    bool isAnswered = false;
    try {
        call->connect(connectTimeout, m_request.deadline - monotonicNow());
        HTTPRequest outgoing = makeTargetRequest("/v1/calls/" + m_exchange.pathSuffix(), m_request,
                                                 m_registry.find<PeerService>());
        outgoing.set(authorization, m_exchange.header(authorization));
        outgoing.set(http::ticketHeader, m_exchange.header(http::ticketHeader));
        outgoing.set(http::forwardedHeader, "1");
        call->send(outgoing, m_body);
        call->receive(response);
        answer = call->readBody();
        isAnswered = response.has(http::verdictHeader);
    } catch (const Poco::Exception &) {
        isAnswered = false;
    }
    watch->close();
    if (isAnswered)
        return sendForwarded(response, answer);
    if (watch->interruption() == Interruption::CallerGone)
        return;
    if (watch->interruption() == Interruption::DeadlinePassed)
        return m_exchange.sendError(deadlineError(Verdict::MayHaveRun));
    voidTicket();
}

void OnceRelay::sendForwarded(HTTPResponse &response, const std::string &body)
{
    for (const char *name : forwardedAnswerHeaders) {
        if (response.has(name))
            m_exchange.response().set(name, response.get(name));
    }
    m_exchange.send(response.getStatus(), response.getContentType(), body);
}

void OnceRelay::voidTicket()
{
    const WitnessAnswer answer = m_tickets.voidAtWitness(m_ticket, m_request.deadline);
    if (answer == WitnessAnswer::Voided)
        return m_exchange.sendError({ ErrorId::PermitRefused, Verdict::NotRun,
                                      "the ticket's issuer cannot be reached; take a new ticket",
                                      retryAfterVoid });
    m_exchange.sendError({ ErrorId::PeerUnreachable, Verdict::MayHaveRun,
                           "the ticket's issuer cannot be reached", retryAfterUnreachable });
}

} // namespace egretmount::entry
