#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/limits/target_status.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "ingress_service.h"
#include "metrics_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// An engine that a prompt crashes writes few events on it, if any.
constexpr int minProvenEvents = 4;
constexpr Milliseconds minProvenTime = Milliseconds(600);

} // namespace

std::optional<limits::SendFailure> Exchange::onResponseHead(http::ResponseHead head,
                                                            std::optional<int> inFlight)
{
    if (m_history.sends > 1) {
        LOG(INFO) << "exchange: response after an earlier send id=" << m_caller.requestId
                  << " target=" << m_placement.target.id.value << " status=" << head.status
                  << " framing=" << nameOf(m_send->framing())
                  << " begun=" << m_history.isResponseStarted
                  << " after_event=" << (m_scanner.lastId.empty() ? "none" : m_scanner.lastId);
    }
    m_reportedInFlight = inFlight;
    if (m_history.isResponseStarted) {
        const bool continues = m_isEventStream && limits::continuesStream(m_responseHead, head)
                               && platform::readResponseFields(head).isSigned
                                      == platform::readResponseFields(m_responseHead).isSigned;
        return continues ? std::nullopt : std::optional(limits::SendFailure::NotContinued);
    }
    // Decided before the body, which may be too large to be buffered as a whole.
    const limits::ResponseUse use = limits::useOf(*m_route, head.status);
    if (use == limits::ResponseUse::RetryOrReplace) {
        LOG(INFO) << "exchange: response not passed on id=" << m_caller.requestId
                  << " target=" << m_placement.target.id.value << " status=" << head.status
                  << " use=" << nameOf(use);
        return limits::SendFailure::ExecutionFailed;
    }
    m_responseHead = std::move(head);
    m_isEventStream =
        m_route->retrySemantics == fleet::RetrySemantics::Stream && m_responseHead.status == 200;
    m_buffer.clear();
    return std::nullopt;
}

bool Exchange::onResponseBytes(std::string bytes)
{
    if (m_isEventStream)
        return forwardEvents(bytes);
    m_buffer += bytes;
    const bool hasBegun = m_history.isResponseStarted;
    // The request can be retried if the connection breaks while the response is buffered.
    if (!hasBegun && m_buffer.size() <= m_services.ingress.responseBuffer())
        return true;
    if (!hasBegun) {
        endHeldSend();
        m_history.isResponseStarted = true;
        m_connection->beginResponse(m_responseHead.status, m_responseHead.reason,
                                    responseFields(m_responseHead));
    }
    m_connection->sendChunk(m_buffer);
    m_buffer.clear();
    awaitCaller();
    return true;
}

void Exchange::awaitCaller()
{
    if (m_connection->unsent() <= m_services.ingress.responseBuffer())
        return;
    m_hasAwaitedCaller = true;
    m_send->pauseInput(true);
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_connection->onDrain([weak] {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (!self || self->m_isOver || !self->m_send->isPaused())
            return;
        self->m_lastEventAt = self->m_services.reactor.now(); // the target was not silent
        self->m_send->pauseInput(false);
    });
}

bool Exchange::forwardEvents(const std::string &bytes)
{
    const std::string events = http::extractEvents(m_scanner, bytes);
    if (events.empty())
        return !m_scanner.isOutOfOrder && !m_scanner.isTooLong;
    endHeldSend();
    const Milliseconds now = m_services.reactor.now();
    if (m_history.isResponseStarted)
        m_longestEventGap = std::max(m_longestEventGap, now - m_lastForwardedAt);
    m_lastForwardedAt = m_lastEventAt = now;
    ++m_decodedEvents;
    if (!m_isDecoding) {
        m_isDecoding = true;
        m_decodingSince = now;
        m_services.placement.markDecoding(m_placement.entryId, m_placement.expectedMs,
                                          static_cast<double>((now - m_sentAt).count()),
                                          m_reportedInFlight);
    }
    if (!m_history.isResponseStarted) {
        m_history.isResponseStarted = true;
        m_firstEventAt = now;
        m_connection->beginResponse(m_responseHead.status, m_responseHead.reason,
                                    responseFields(m_responseHead));
    }
    if (!m_isProofRecorded && isPromptProven())
        recordProof();
    m_history.canResume = http::canResume(m_scanner);
    m_connection->sendChunk(events);
    awaitCaller();
    return !m_scanner.isOutOfOrder && !m_scanner.isTooLong;
}

bool Exchange::isPromptProven() const
{
    return m_isDecoding && m_decodedEvents >= minProvenEvents
           && m_services.reactor.now() - m_decodingSince >= minProvenTime;
}

void Exchange::recordProof()
{
    m_isProofRecorded = true;
    m_services.crashes.recordSound(m_causes);
}

std::string Exchange::responseFields(const http::ResponseHead &head) const
{
    std::string fields;
    for (const http::Field &field : http::endToEndFields(head.fields))
        http::appendField(fields, field.name, field.value);
    return fields;
}

void Exchange::onResponseComplete()
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    endSend(m_responseHead.status == 200);
    m_services.metrics.countResponseEnd(m_send->framing(), m_send->connectionEnd());
    const placement::EngineKey key = keyOf(m_placement.target.id);
    if (m_isEventStream && !m_scanner.partial.empty()) {
        // The response ended in the middle of an event, so the target did not complete it.
        handleFailure(limits::SendFailure::Broken);
        return;
    }
    if (m_history.isResponseStarted && m_scanner.isResumed && !m_scanner.hasContinued) {
        // A target that no longer knows the request may respond with an empty stream. The caller
        // can resume by itself if its events were in fact the whole stream.
        handleFailure(limits::SendFailure::NotContinued);
        return;
    }
    if (limits::useOf(*m_route, m_responseHead.status) == limits::ResponseUse::Deliver) {
        m_services.targets.recordSuccess(key);
    } else {
        if (!m_placement.isRelay)
            m_services.targets.recordFailure(key, false);
        if (!m_history.isResponseStarted) {
            m_hasFallback = true;
            m_fallbackHead = m_responseHead;
            m_fallbackBody = m_buffer;
            handleFailure(limits::SendFailure::ExecutionFailed);
            return;
        }
    }
    const bool hasOutput = !m_isEventStream || m_decodedEvents > 0;
    if (m_responseHead.status < 300 && hasOutput && !m_isProofRecorded)
        recordProof();
    if (m_history.isResponseStarted) {
        m_connection->endResponse();
    } else if (m_isEventStream) {
        m_connection->beginResponse(m_responseHead.status, m_responseHead.reason,
                                    responseFields(m_responseHead));
        m_connection->endResponse();
    } else {
        m_connection->respond(m_responseHead.status, m_responseHead.reason,
                              responseFields(m_responseHead), m_buffer);
    }
    finish(m_responseHead.status, "answered");
}

void Exchange::forwardFallback()
{
    m_connection->respond(m_fallbackHead.status, m_fallbackHead.reason,
                          responseFields(m_fallbackHead), m_fallbackBody);
    finish(m_fallbackHead.status, "target-failure-passed-on");
}

void Exchange::refuse(std::string_view reason, Milliseconds retryAfter)
{
    respondWithError(503, reason, retryAfter);
}

void Exchange::respondWithError(int status, std::string_view reason, Milliseconds retryAfter)
{
    std::string fields;
    platform::appendRequestId(fields, m_caller.requestId);
    if (m_source == RequestSource::Instance && limits::verdictOf(m_history) == Verdict::NotRun)
        platform::appendNotExecuted(fields);
    if (retryAfter > Milliseconds())
        platform::appendRetryAfter(fields, retryAfter);
    m_connection->respond(status, http::reasonPhrase(status), fields, {});
    finish(status, reason);
}

void Exchange::abortResponse(std::string_view reason)
{
    m_send->cancel();
    endSend();
    m_connection->abortResponse();
    finish(0, reason);
}

} // namespace egretmount::node
