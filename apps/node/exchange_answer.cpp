#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include "fleet_service.h"
#include "ingress_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// An answer without events is passed on as a whole up to this size, so that a torn one can be
// repeated; larger ones are passed on as they come.
constexpr std::size_t maxBuffered = 256UL * 1024;
// A caller that takes nothing while this much waits for it is broken off.
constexpr std::size_t maxUnsent = 2UL * 1024 * 1024;

} // namespace

void Exchange::onAnswerHead(http::ResponseHead head, std::optional<int> inHand)
{
    m_reportedInHand = inHand;
    m_answerHead = std::move(head);
    m_isEventStream =
        m_route->repetition == fleet::Repetition::Stream && m_answerHead.status == 200;
    m_buffer.clear();
}

void Exchange::onAnswerBytes(std::string bytes)
{
    if (m_isEventStream) {
        passEvents(bytes);
        return;
    }
    m_buffer += bytes;
    const bool isBegun = m_history.hasAnswerBegun;
    if (!isBegun && m_buffer.size() <= maxBuffered)
        return;
    if (!isBegun) {
        m_history.hasAnswerBegun = true;
        m_connection->beginResponse(m_answerHead.status, m_answerHead.reason,
                                  answerFields(m_answerHead));
    }
    m_connection->sendChunk(m_buffer);
    m_buffer.clear();
}

void Exchange::passEvents(const std::string &bytes)
{
    const std::string events = http::takeEvents(m_scanner, bytes);
    if (events.empty())
        return;
    const Milliseconds now = m_services.reactor.now();
    if (m_history.hasAnswerBegun)
        m_longestPause = std::max(m_longestPause, now - m_lastPassedAt);
    m_lastPassedAt = m_lastEventAt = now;
    if (!m_isWriting) {
        m_isWriting = true;
        m_services.placement.noteWriting(m_placement.work, m_placement.expectedMs,
                                         static_cast<double>((now - m_sentAt).count()),
                                         m_reportedInHand);
    }
    if (!m_history.hasAnswerBegun) {
        m_history.hasAnswerBegun = true;
        m_firstEventAt = now;
        m_connection->beginResponse(m_answerHead.status, m_answerHead.reason,
                                  answerFields(m_answerHead));
    }
    m_connection->sendChunk(events);
    if (m_connection->unsent() > maxUnsent)
        abortResponse("caller-too-slow");
}

std::string Exchange::answerFields(const http::ResponseHead &head) const
{
    std::string fields;
    for (const http::Field &field : http::endToEndFields(head.fields))
        http::appendField(fields, field.name, field.value);
    return fields;
}

void Exchange::onAnswerComplete()
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    endSend(m_answerHead.status == 200);
    const placement::EngineKey key = keyOf(m_placement.target.id);
    if (m_isEventStream && !m_scanner.partial.empty()) {
        // The answer ended in the middle of an event: the target broke off.
        handleFailure(limits::SendFailure::Broken);
        return;
    }
    if (m_answerHead.status >= 500) {
        m_services.targets.noteFailure(key, false);
        if (!m_history.hasAnswerBegun) {
            m_hasFallback = true;
            m_fallbackHead = m_answerHead;
            m_fallbackBody = m_buffer;
            handleFailure(limits::SendFailure::FailedRun);
            return;
        }
    } else {
        m_services.targets.noteSuccess(key);
    }
    if (m_history.hasAnswerBegun) {
        m_connection->endResponse();
    } else if (m_isEventStream) {
        m_connection->beginResponse(m_answerHead.status, m_answerHead.reason,
                                  answerFields(m_answerHead));
        m_connection->endResponse();
    } else {
        m_connection->respond(m_answerHead.status, m_answerHead.reason, answerFields(m_answerHead),
                             m_buffer);
    }
    finish(m_answerHead.status, "answered");
}

void Exchange::passFallback()
{
    m_connection->respond(m_fallbackHead.status, m_fallbackHead.reason, answerFields(m_fallbackHead),
                         m_fallbackBody);
    finish(m_fallbackHead.status, "target-failure-passed-on");
}

void Exchange::answerNotRun(std::string_view reason, Milliseconds retryAfter)
{
    answerOwn(503, reason, retryAfter);
}

void Exchange::answerOwn(int status, std::string_view reason, Milliseconds retryAfter)
{
    std::string fields;
    platform::appendRequestId(fields, m_caller.requestId);
    if (retryAfter > Milliseconds())
        platform::appendRetryAfter(fields, retryAfter);
    m_connection->respond(status, http::reasonPhrase(status), fields, {});
    finish(status, reason);
}

void Exchange::abortResponse(std::string_view reason)
{
    m_send.cancel();
    endSend();
    m_connection->abortResponse();
    finish(0, reason);
}

} // namespace egretmount::node
