#include "relay.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <glog/logging.h>

#include "cancel_service.h"
#include "config_service.h"
#include "event_reader.h"
#include "http/headers.h"
#include "http/load_report.h"
#include "peer_service.h"
#include "target_call.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr int maxIdleConnections = 2; // to one target, in a row without a new token
constexpr std::string_view usageField = "\"prompt_tokens\":";
constexpr TokenCount defaultMaxTokens = 16;
constexpr TokenCount highestMaxTokens = 1'000'000;

} // namespace

Result<CompletionBody> readCompletionBody(const std::string &body)
{
    try {
        Poco::JSON::Parser parser;
        const Poco::JSON::Object::Ptr object =
            parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        CompletionBody read;
        // Extracting, unlike converting, refuses values of other types.
        read.service = ServiceId(object->get("model").extract<std::string>());
        const std::string prompt = object->get("prompt").extract<std::string>();
        read.promptBytes = static_cast<std::int64_t>(prompt.size());
        read.maxTokens = object->optValue<TokenCount>("max_tokens", defaultMaxTokens);
        if (read.promptBytes == 0 || read.maxTokens < 1 || read.maxTokens > highestMaxTokens)
            return fail(ErrorId::MalformedRequest, Verdict::NotRun,
                        "prompt or max_tokens is out of range");
        return read;
    } catch (const Poco::Exception &) {
        return fail(ErrorId::MalformedRequest, Verdict::NotRun,
                    "the body needs a model, a prompt and no other types than the API's");
    }
}

CompletionRelay::CompletionRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange,
                                 Request request, const std::string &body, TokenCount nextOffset,
                                 const CompletionSource *source)
    : m_registry(registry)
    , m_dispatch(registry.find<DispatchService>())
    , m_exchange(exchange)
    , m_request(std::move(request))
    , m_trace(registry, m_request)
    , m_admitted(source ? m_request : withUniqueId(m_request))
    , m_body(body)
    , m_source(source)
    , m_watch(std::make_shared<RequestWatch>(m_request.deadline,
                                             http::ConnectionMonitor(exchange.request())))
{
    m_reassembly.nextOffset = nextOffset;
    registry.find<WatchService>().add(m_watch);
}

CompletionRelay::~CompletionRelay()
{
    m_watch->close();
}

void CompletionRelay::run()
{
    Result<void> result = attempt();
    while (!result && m_attempts < maxAttempts && m_watch->interruption() == Interruption::None
           && result.error().id == ErrorId::TargetFailed && m_dispatch.tryAcquireRetry()) {
        LOG(INFO) << "callers: trying another target request=" << m_request.id.value
                  << " offset=" << m_reassembly.nextOffset;
        result = attempt();
    }
    const bool isCallerGone = m_watch->interruption() == Interruption::CallerGone;
    m_trace.finish(m_verdict, result ? nullptr : &result.error(), m_out || isCallerGone);
    if (!result)
        answerError(result.error());
}

Result<void> CompletionRelay::attempt()
{
    ++m_attempts;
    const Result<Assignment> assignment =
        m_source ? m_source->acquire() : requestTarget(m_dispatch, m_admitted, m_watch.get());
    if (!assignment) {
        Error error = assignment.error();
        error.verdict = m_verdict;
        return tl::make_unexpected(error);
    }
    m_trace.noteAssigned();
    m_target = assignment->target;
    Result<void> result = relayFrom(*assignment);
    const bool isInterrupted = m_watch->interruption() != Interruption::None
                               || (!result && result.error().id == ErrorId::StreamInterrupted);
    const bool isKept = !result && !isInterrupted && m_source && !m_source->isTargetToBlame();
    if (isKept)
        return result;
    const Outcome failed = isInterrupted ? Outcome::Cancelled : Outcome::Failed;
    release(*assignment, result ? Outcome::Completed : failed);
    return result;
}

// A connection that has gone silent or broken off is followed by a new one to the same target,
// where the stream is still running. Before the target's first token silence proves little, as the
// prompt may be long; so half of the time left is spent on waiting for it.
Result<void> CompletionRelay::relayFrom(const Assignment &assignment)
{
    const TokenCount first = m_reassembly.nextOffset;
    const Milliseconds start = monotonicNow();
    const Milliseconds patience = start + (m_request.deadline - start) / 2;
    int idleConnections = 0;
    for (;;) {
        const TokenCount before = m_reassembly.nextOffset;
        const Milliseconds opened = monotonicNow();
        Result<void> result = relayConnection(assignment);
        const bool isOver = m_watch->interruption() != Interruption::None || !m_isResumable;
        if (result || isOver || result.error().id != ErrorId::TargetFailed)
            return result;
        const Milliseconds now = monotonicNow();
        const bool isWaiting = m_reassembly.nextOffset == first && now < patience
                               && now - opened >= assignment.silenceTimeout;
        const bool hasProgressed = m_reassembly.nextOffset > before;
        idleConnections = hasProgressed || isWaiting ? 0 : idleConnections + 1;
        if (idleConnections > maxIdleConnections)
            return result;
        LOG_EVERY_N(INFO, 20) << "callers: resuming at the same target request="
                              << m_request.id.value << " offset=" << m_reassembly.nextOffset;
    }
}

Result<void> CompletionRelay::relayConnection(const Assignment &assignment)
{
    const std::shared_ptr<http::ClientCall> call =
        std::make_shared<http::ClientCall>(assignment.address);
    m_watch->setCall(call);
    m_isResumable = false;
    stream::resume(m_reassembly);
    Result<void> result;
    try {
        call->connect(connectTimeout, assignment.silenceTimeout);
        Request prioritized = m_request;
        prioritized.priority = assignment.enginePriority;
        HTTPRequest request =
            makeTargetRequest("/v1/completions", prioritized, m_registry.find<PeerService>());
        if (m_reassembly.nextOffset > 0)
            request.set(http::lastEventIdHeader, std::to_string(m_reassembly.nextOffset - 1));
        m_verdict = Verdict::MayHaveRun;
        call->send(request, m_source ? m_source->prepare(request) : m_body);
        result = relayResponse(*call, assignment.target);
    } catch (const Poco::Exception &) {
        result = fail(ErrorId::TargetFailed, m_verdict, "the target failed", retryAfterFailure);
    }
    m_watch->setCall(nullptr);
    if (!result && m_watch->interruption() != Interruption::None)
        return tl::make_unexpected(interruptionError());
    return result;
}

Result<void> CompletionRelay::relayResponse(http::ClientCall &call, const TargetId &target)
{
    HTTPResponse response;
    std::istream &stream = call.receive(response);
    routing::LoadReport report;
    if (http::readLoadReport(response.get(http::loadHeader, ""), report))
        m_dispatch.applyReport(target, report);
    if (response.getStatus() == HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE)
        return fail(ErrorId::PromptTooLong, m_verdict, "no target has that much memory");
    if (response.getStatus() != HTTPResponse::HTTP_OK)
        return fail(ErrorId::TargetFailed, m_verdict, "the target refused the request",
                    retryAfterFailure);
    return readEvents(stream);
}

Result<void> CompletionRelay::readEvents(std::istream &stream)
{
    EventReader reader(stream);
    while (!m_reassembly.isComplete) {
        const std::optional<stream::Chunk> chunk = reader.next();
        m_isResumable = !reader.hasError();
        if (!chunk)
            return fail(ErrorId::TargetFailed, m_verdict, "the target broke off its answer",
                        retryAfterFailure);
        for (const stream::Chunk &ready : stream::accept(m_reassembly, *chunk)) {
            if (!forward(ready))
                return fail(ErrorId::StreamInterrupted, m_verdict, "the caller has left");
        }
        if (m_reassembly.hasOverflowed)
            return fail(ErrorId::TargetFailed, m_verdict, "the target sent chunks out of bounds",
                        retryAfterFailure);
    }
    m_verdict = Verdict::Ran;
    return {};
}

bool CompletionRelay::forward(const stream::Chunk &chunk)
{
    if (!m_out) {
        m_dispatch.onFirstToken(m_admitted.id);
        m_exchange.response().set(http::requestIdHeader, callerId().value);
        m_exchange.response().set(http::targetHeader, m_target.value);
        m_exchange.response().set(http::verdictHeader, std::string(nameOf(m_verdict)));
        m_out = &m_exchange.startEventStream();
    }
    if (!chunk.isLast)
        m_trace.noteToken();
    *m_out << "id: " << chunk.offset << '\n' << chunk.payload << '\n';
    if (chunk.isLast)
        recordUsage(chunk);
    if (chunk.isLast)
        *m_out << "event: verdict\ndata: {\"verdict\":\"ran\"}\n\ndata: [DONE]\n\n";
    *m_out << std::flush;
    if (chunk.isLast && *m_out)
        m_exchange.finishEventStream();
    return static_cast<bool>(*m_out);
}

void CompletionRelay::recordUsage(const stream::Chunk &last)
{
    const std::size_t field = last.payload.find(usageField);
    if (field == std::string::npos)
        return;
    const std::size_t start = field + usageField.size();
    const std::size_t end = last.payload.find_first_of(",}", start);
    Poco::Int64 tokens = 0;
    if (Poco::NumberParser::tryParse64(Poco::trim(last.payload.substr(start, end - start)), tokens))
        m_dispatch.recordUsage(m_request, tokens);
}

void CompletionRelay::answerError(const Error &error)
{
    if (m_watch->interruption() == Interruption::CallerGone) {
        LOG_EVERY_N(INFO, 20) << "callers: the caller has left request=" << m_request.id.value;
        return;
    }
    m_exchange.response().set(http::requestIdHeader, callerId().value);
    if (!m_out)
        return m_exchange.sendError(error);
    *m_out << "event: error\ndata: " << http::errorJson(error) << "\n\n" << std::flush;
}

// The target's capacity counts as held until its cancel is done; the caller does not wait for it.
void CompletionRelay::release(const Assignment &assignment, Outcome outcome)
{
    const auto finish = [&dispatch = m_dispatch, id = m_admitted.id, outcome,
                         generated = m_reassembly.nextOffset] {
        dispatch.finish(id, outcome, generated);
    };
    if (outcome != Outcome::Cancelled)
        return finish();
    const std::string owner = ownerText(m_registry.find<PeerService>());
    m_registry.find<CancelService>().cancel({ assignment.address, m_request.id, owner, finish });
}

Error CompletionRelay::interruptionError() const
{
    if (m_watch->interruption() == Interruption::DeadlinePassed)
        return deadlineError(m_verdict);
    return { ErrorId::StreamInterrupted, m_verdict, "the caller has left", Milliseconds() };
}

} // namespace egretmount::entry
