#include "held_send.h"

#include <utility>

#include <glog/logging.h>

#include "crash_guard.h"
#include "metrics_service.h"
#include "target_pool.h"

namespace egretmount::node {

Exchange::HeldSend::HeldSend(Exchange &exchange)
    : m_exchange(exchange)
    , m_send(std::exchange(exchange.m_send, exchange.makeSend()))
    , m_placement(exchange.m_placement)
    , m_reservations(std::move(exchange.m_reservations))
    , m_responseHead(exchange.m_responseHead)
    , m_reportedInFlight(exchange.m_reportedInFlight)
    , m_buffer(std::move(exchange.m_buffer))
    , m_isEventStream(exchange.m_isEventStream)
    , m_scanner(exchange.m_scanner)
    , m_sentAt(exchange.m_sentAt)
    , m_lastEventAt(exchange.m_lastEventAt)
    , m_isDecoding(exchange.m_isDecoding)
    , m_decodingSince(exchange.m_decodingSince)
    , m_decodedEvents(exchange.m_decodedEvents)
    , m_isPromptProven(exchange.isPromptProven())
{
    m_send->setListener(*this);
    exchange.m_reservations.reset();
    exchange.m_placement.entryId = 0; // this object releases it
}

void Exchange::HeldSend::restore()
{
    m_send->setListener(m_exchange);
    m_exchange.m_send = m_send;
    m_exchange.m_placement = m_placement;
    m_exchange.m_reservations = std::move(m_reservations);
    m_exchange.m_responseHead = std::move(m_responseHead);
    m_exchange.m_reportedInFlight = m_reportedInFlight;
    m_exchange.m_buffer = std::move(m_buffer);
    m_exchange.m_isEventStream = m_isEventStream;
    m_exchange.m_scanner = std::move(m_scanner);
    m_exchange.m_sentAt = m_sentAt;
    m_exchange.m_lastEventAt = m_lastEventAt;
    m_exchange.m_isDecoding = m_isDecoding;
    m_exchange.m_decodingSince = m_decodingSince;
    m_exchange.m_decodedEvents = m_decodedEvents;
}

void Exchange::HeldSend::cancel()
{
    m_send->cancel();
    if (m_reservations)
        m_reservations->release();
    if (m_placement.entryId != 0)
        m_exchange.m_services.placement.endRequest(m_placement.entryId, false);
}

std::optional<limits::SendFailure> Exchange::HeldSend::onResponseHead(http::ResponseHead head,
                                                                      std::optional<int> inFlight)
{
    constexpr int firstErrorStatus = 300;
    // The target that is tried meanwhile may serve the request.
    if (head.status >= firstErrorStatus)
        return limits::SendFailure::NotContinued;
    Exchange &exchange = m_exchange;
    exchange.resumeHeldSend();
    return exchange.onResponseHead(std::move(head), inFlight);
}

bool Exchange::HeldSend::onResponseBytes(std::string bytes)
{
    Exchange &exchange = m_exchange;
    exchange.resumeHeldSend();
    return exchange.onResponseBytes(std::move(bytes));
}

void Exchange::HeldSend::onResponseComplete()
{
    Exchange &exchange = m_exchange;
    exchange.resumeHeldSend();
    exchange.onResponseComplete();
}

void Exchange::HeldSend::onSendFailed(limits::SendFailure failure, const std::string &)
{
    m_exchange.onHeldSendFailed(failure);
}

void Exchange::tryElsewhere(const Placement &placement)
{
    m_failedTargets.insert(m_placement.target.id);
    // The first silent target is kept: it has read more of the prompt than the others.
    if (!m_heldSend && m_send->isInProgress())
        m_heldSend = std::make_shared<HeldSend>(*this);
    else
        m_send->cancel();
    endSend();
    reserveAndSend(placement);
}

bool Exchange::resumeHeldSend()
{
    if (!m_heldSend)
        return false;
    m_send->cancel();
    endSend();
    const std::shared_ptr<HeldSend> held = std::move(m_heldSend);
    // Both may be running the callback that has led here.
    m_services.reactor.defer([held, cancelled = m_send] {});
    held->restore();
    m_busyReports = 0;
    m_reportedBusyAt = m_services.reactor.now();
    LOG(INFO) << "exchange: returned to silent target id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value
              << " quiet_ms=" << (m_services.reactor.now() - m_lastEventAt).count();
    scheduleStallCheck();
    return true;
}

void Exchange::onHeldSendFailed(limits::SendFailure failure)
{
    const TargetSend &send = m_heldSend->send();
    const fleet::TargetEntry target = m_heldSend->target();
    m_services.metrics.countSendFailure(target.id, failure);
    LOG(INFO) << "exchange: kept send failed id=" << m_caller.requestId
              << " target=" << target.id.value << " failure=" << nameOf(failure)
              << " connection=" << send.connectionEnd();
    if (failure == limits::SendFailure::Declined)
        --m_history.possibleExecutions;
    if (failure == limits::SendFailure::Broken && send.hasEnded() && !m_heldSend->isRelay()
        && !m_heldSend->isPromptProven())
        m_services.crashes.onConnectionLost(target, send.startedAt(), m_causes);
    endHeldSend();
}

void Exchange::endHeldSend()
{
    if (!m_heldSend)
        return;
    m_heldSend->cancel();
    // It may be running the callback that has led here.
    m_services.reactor.defer([held = std::move(m_heldSend)] {});
    m_heldSend.reset();
}

} // namespace egretmount::node
