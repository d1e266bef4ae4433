#include "call_relay.h"

#include <Poco/Exception.h>

#include "http/headers.h"
#include "request_watch.h"
#include "target_call.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

Outcome outcomeOf(bool isWhole, const RequestWatch &watch)
{
    if (isWhole)
        return Outcome::Completed;
    return watch.interruption() == Interruption::None ? Outcome::Failed : Outcome::Cancelled;
}

Result<runonce::CallResponse> attempt(kernel::ServiceRegistry &registry, const Request &request,
                                      const std::string &path, const std::string &body,
                                      RequestWatch &watch, Verdict &verdict)
{
    DispatchService &dispatch = registry.find<DispatchService>();
    const Request admitted = withUniqueId(request);
    const Result<Assignment> assignment = requestTarget(dispatch, admitted, &watch);
    if (!assignment) {
        Error error = assignment.error();
        error.verdict = verdict;
        return tl::make_unexpected(error);
    }
    const std::shared_ptr<http::ClientCall> call =
        std::make_shared<http::ClientCall>(assignment->address);
    watch.setCall(call);
    Result<runonce::CallResponse> result =
        fail(ErrorId::TargetFailed, verdict, "the target cannot be reached", retryAfterFailure);
    try {
        call->connect(connectTimeout, assignment->silenceTimeout);
        HTTPRequest outgoing =
            makeTargetRequest("/v1/calls/" + path, request, registry.find<PeerService>());
        verdict = Verdict::MayHaveRun;
        result = exchangeCall(*call, outgoing, body, assignment->target);
    } catch (const Poco::Exception &) {
        // The connection set-up failed, and nothing was sent.
        watch.setCall(nullptr);
    }
    watch.setCall(nullptr);
    dispatch.finish(admitted.id, outcomeOf(result.has_value(), watch));
    return result;
}

} // namespace

void relayCall(kernel::ServiceRegistry &registry, http::Exchange &exchange, const Request &request,
               const std::string &body)
{
    const std::shared_ptr<RequestWatch> watch = std::make_shared<RequestWatch>(
        request.deadline, http::ConnectionMonitor(exchange.request()));
    registry.find<WatchService>().add(watch);
    Verdict verdict = Verdict::NotRun;
    Result<runonce::CallResponse> result =
        attempt(registry, request, exchange.pathSuffix(), body, *watch, verdict);
    for (int attempts = 1;
         attempts < maxAttempts && !result && result.error().id == ErrorId::TargetFailed
         && watch->interruption() == Interruption::None
         && registry.find<DispatchService>().tryAcquireRetry();
         ++attempts)
        result = attempt(registry, request, exchange.pathSuffix(), body, *watch, verdict);
    watch->close();
    exchange.response().set(http::requestIdHeader, request.id.value);
    if (watch->interruption() == Interruption::CallerGone)
        return;
    if (!result && watch->interruption() == Interruption::DeadlinePassed)
        return exchange.sendError(deadlineError(verdict));
    sendCallResult(exchange, result);
}

void sendCallResult(http::Exchange &exchange, const Result<runonce::CallResponse> &result)
{
    if (!result)
        return exchange.sendError(result.error());
    exchange.response().set(http::targetHeader, result->target.value);
    exchange.response().set(http::verdictHeader, std::string(nameOf(Verdict::Ran)));
    exchange.send(static_cast<HTTPResponse::HTTPStatus>(result->status), result->contentType,
                  result->body);
}

} // namespace egretmount::entry
