#include "target_call.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>

#include <Poco/Exception.h>
#include <glog/logging.h>

#include "http/headers.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr Milliseconds callerCheckInterval = 50_ms;

Error targetError(const std::string &detail)
{
    return { ErrorId::TargetFailed, Verdict::MayHaveRun, detail, retryAfterFailure };
}

} // namespace

std::string ownerText(const PeerService &peers)
{
    const InstanceRun &run = peers.self().run;
    return run.instance.value + '/' + std::to_string(run.incarnation);
}

HTTPRequest makeTargetRequest(const std::string &path, const Request &request,
                              const PeerService &peers)
{
    HTTPRequest http(HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
    const Milliseconds left = request.deadline - monotonicNow();
    http.setContentType("application/json");
    http.set(http::requestIdHeader, request.id.value);
    http.set(http::deadlineHeader, std::to_string(left.count()));
    http.set(http::priorityHeader, std::to_string(request.priority));
    http.set(http::ownerHeader, ownerText(peers));
    return http;
}

Request withUniqueId(Request request)
{
    static std::atomic<std::uint64_t> count { 0 };
    request.id.value += '~' + std::to_string(++count); // no caller's id has that sign
    return request;
}

Result<Assignment> requestTarget(DispatchService &dispatch, const Request &request,
                                 const RequestWatch *watch)
{
    using Decision = std::promise<Result<Assignment>>;
    std::shared_ptr<Decision> promise = std::make_shared<Decision>();
    std::future<Result<Assignment>> decision = promise->get_future();
    // The callback owns the promise alone, so that a loop that ends breaks it and this wait ends.
    dispatch.submit(request, [promise = std::move(promise)](Result<Assignment> result) {
        promise->set_value(std::move(result));
    });
    const std::chrono::milliseconds interval(callerCheckInterval.count());
    while (watch && decision.wait_for(interval) != std::future_status::ready) {
        if (watch->interruption() != Interruption::CallerGone)
            continue;
        dispatch.cancelQueued(request.id);
        try {
            if (decision.get())
                dispatch.finish(request.id, Outcome::Cancelled);
        } catch (const std::future_error &) {
            // It was withdrawn in time.
        }
        return fail(ErrorId::StreamInterrupted, Verdict::NotRun, "the caller has left");
    }
    return decision.get();
}

Error deadlineError(Verdict verdict)
{
    return { ErrorId::DeadlinePassed, verdict, "the deadline passed", retryAfterFailure };
}

Result<runonce::CallResponse> exchangeCall(http::ClientCall &call, HTTPRequest &outgoing,
                                           const std::string &body, const TargetId &target)
{
    try {
        call.send(outgoing, body);
        HTTPResponse response;
        call.receive(response);
        runonce::CallResponse answer;
        answer.status = static_cast<int>(response.getStatus());
        answer.contentType = response.getContentType();
        answer.target = target;
        answer.body = call.readBody(maxAnswerBytes);
        if (answer.status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
            return tl::make_unexpected(targetError("the target failed"));
        return answer;
    } catch (const Poco::Exception &error) {
        LOG_EVERY_N(INFO, 20) << "callers: a call failed target=" << target.value << " reason=\""
                              << error.displayText() << '"';
        return tl::make_unexpected(targetError("the target failed"));
    }
}

} // namespace egretmount::entry
