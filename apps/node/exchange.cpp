#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/limits/silence.h>

#include "fleet_service.h"
#include "ingress_service.h"
#include "metrics_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

using limits::NextStep;
using limits::SendFailure;

// When to try again after an engine had no memory to set aside.
constexpr Milliseconds memoryRetryDelay = Milliseconds(150);
// When to come back after a send that did not run: some other target may have room at once.
constexpr Milliseconds declinedDelay = Milliseconds(250);

double secondsOf(Milliseconds time)
{
    return static_cast<double>(time.count()) / 1'000;
}

std::string joined(const std::vector<TargetId> &ids)
{
    std::string text;
    for (const TargetId &id : ids)
        text.append(text.empty() ? "" : ",").append(id.value);
    return text.empty() ? "none" : text;
}

} // namespace

Exchange::Exchange(const ExchangeServices &services,
                   std::shared_ptr<net::ServerConnection> connection, http::RequestHead head,
                   std::string body)
    : m_services(services)
    , m_connection(std::move(connection))
    , m_requestHead(std::move(head))
    , m_body(std::move(body))
    , m_caller(platform::readCallerFields(m_requestHead))
    , m_arrivedAt(services.reactor.now())
    , m_send(services.reactor, services.targets, *this)
{ }

Exchange::~Exchange()
{
    m_services.reactor.cancel(m_endTimer);
    m_services.reactor.cancel(m_silenceTimer);
    m_services.reactor.cancel(m_turnTimer);
}

void Exchange::start(double serviceDraw)
{
    m_serviceDraw = serviceDraw;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_connection->onDisconnect([weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock())
            self->onCallerGone();
    });
    if (m_services.fleet.configuration())
        begin();
    else
        waitForConfiguration();
}

void Exchange::begin()
{
    m_configuration = m_services.fleet.configuration();
    if (!checkRequest())
        return;
    m_service = fleet::findService(*m_configuration, fleet::chooseService(*m_route, m_serviceDraw));
    if (m_service == nullptr) {
        answerNotRun("service-unknown", delayInOutage());
        return;
    }
    Milliseconds life = m_route->timeout > Milliseconds()
                            ? m_route->timeout
                            : m_caller.deadline.value_or(Milliseconds(10'000));
    if (m_caller.deadline)
        life = std::min(life, *m_caller.deadline);
    m_endsAt = m_arrivedAt + life;
    m_services.ingress.noteRequest(m_service->id);
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_endTimer = m_services.reactor.after(timeLeft(), [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock())
            self->onTimeUp();
    });
    send();
}

bool Exchange::checkRequest()
{
    const std::string host(
        http::fieldValue(m_requestHead.fields, "Host").value_or(std::string_view()));
    m_route = fleet::findRoute(*m_configuration, host, m_requestHead.target);
    if (m_route == nullptr) {
        answerOwn(404, "unknown-route");
        return false;
    }
    if (m_configuration->hasTeams && !m_route->isPublic) {
        const fleet::Team *team = fleet::findTeam(*m_configuration, m_caller.key);
        if (team == nullptr) {
            answerOwn(401, "unknown-key");
            return false;
        }
        m_team = team->id;
    }
    if (m_caller.requestId.empty()) {
        answerOwn(400, "no-request-id");
        return false;
    }
    return true;
}

Milliseconds Exchange::timeLeft() const
{
    return std::max(m_endsAt - m_services.reactor.now(), Milliseconds());
}

Decision Exchange::place()
{
    if (!m_service->engine || m_caller.promptTokens == 0)
        return m_services.placement.placePlain(*m_service, m_failedTargets);
    placement::Demand demand;
    demand.promptTokens = m_caller.promptTokens;
    demand.answerTokens = m_caller.answerTokens;
    demand.weight = placement::weightOf(*m_service->engine, m_caller.promptTokens);
    demand.latencyTarget = m_route->latencyTarget;
    demand.waited = m_services.reactor.now() - m_arrivedAt;
    demand.pauseTarget = m_route->pauseTarget;
    demand.patience = std::min(timeLeft(), limits::patienceOf(*m_route));
    return m_services.placement.placePrompt(*m_service, demand, m_failedTargets, timeLeft(),
                                            m_waitingWork, m_history.sends > 0);
}

void Exchange::send()
{
    const Decision decision = place();
    if (const Placement *placement = std::get_if<Placement>(&decision)) {
        m_waitingWork = 0;
        prepare(*placement);
    } else if (const Waiting *waiting = std::get_if<Waiting>(&decision)) {
        waitForTurn(*waiting);
    } else {
        handleRefusal(std::get<Refusal>(decision));
    }
}

void Exchange::waitForTurn(const Waiting &waiting)
{
    if (m_waitingWork == 0) {
        LOG(INFO) << "placement: waits id=" << m_caller.requestId
                  << " tokens=" << m_caller.promptTokens << " left_ms=" << timeLeft().count();
    }
    m_waitingWork = waiting.work;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_turnTimer = m_services.reactor.after(waiting.askAgainIn, [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock()) {
            self->m_turnTimer = 0;
            self->send();
        }
    });
}

void Exchange::handleRefusal(const Refusal &refusal)
{
    LOG(INFO) << "placement: refused id=" << m_caller.requestId
              << " reason=" << nameOf(refusal.reason) << " tokens=" << m_caller.promptTokens
              << " left_ms=" << timeLeft().count() << " lane_engines=" << refusal.lane.engines
              << " lane_backlog_ms=" << refusal.lane.backlogMs
              << " lane_waiting_ms=" << refusal.lane.waitingMs
              << " lane_demand=" << refusal.lane.demand
              << " retry_after_ms=" << refusal.retryAfter.count();
    giveUp(nameOf(refusal.reason), refusal.retryAfter, 502);
}

void Exchange::prepare(const Placement &placement)
{
    if (placement.tickets.empty()) {
        sendTo(placement);
        return;
    }
    m_placement = placement;
    m_tickets = std::make_shared<MemoryTickets>(m_services.reactor, placement.tickets);
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_tickets->reserve([weak, placement](bool isReserved) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (!self || self->m_isOver)
            return;
        if (isReserved) {
            self->sendTo(placement);
            return;
        }
        LOG(INFO) << "placement: no memory set aside id=" << self->m_caller.requestId
                  << " tickets=" << placement.tickets.size();
        self->endSend();
        if (self->timeLeft() > Milliseconds())
            self->waitForTurn({ 0, memoryRetryDelay });
    });
}

void Exchange::sendTo(const Placement &placement)
{
    m_placement = placement;
    m_isWriting = false;
    platform::ForwardFields fields;
    fields.target = placement.target.id;
    fields.team = m_team;
    fields.timeLeft = timeLeft();
    fields.helperNames = placement.helperNames;
    if (m_history.hasAnswerBegun && !m_scanner.lastId.empty())
        fields.resumeAfter = m_scanner.lastId;
    m_scanner.partial.clear();
    m_buffer.clear();
    LOG(INFO) << "placement: sent id=" << m_caller.requestId
              << " target=" << placement.target.id.value << " helpers=" << joined(placement.helpers)
              << " part_ms=" << placement.partMs << " tokens=" << m_caller.promptTokens
              << " waited_ms=" << (m_services.reactor.now() - m_arrivedAt).count()
              << " expected_ms=" << placement.expectedMs << " left_ms=" << fields.timeLeft.count()
              << " sends=" << m_history.sends << " config=" << m_configuration->version;
    const bool mustBeFresh =
        m_route->repetition == fleet::Repetition::AtMostOnce
        || (m_route->repetition == fleet::Repetition::Stream && !m_route->isResumable);
    m_sentAt = m_lastEventAt = m_services.reactor.now();
    m_send.start(placement.target,
                 platform::forwardedHead(m_requestHead, fields, m_body.size()) + m_body,
                 m_requestHead.method, m_caller.requestId, mustBeFresh);
    watchSilence();
}

void Exchange::onRequestSent()
{
    ++m_history.sends;
    ++m_history.mayHaveRun;
}

void Exchange::onSendFailed(SendFailure failure, const std::string &faultyAddress)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    endSend();
    if (failure == SendFailure::Declined) {
        --m_history.mayHaveRun;
        if (!faultyAddress.empty() && faultyAddress != m_placement.target.address)
            m_services.ingress.noteFaultyAddress(faultyAddress);
    } else {
        m_services.targets.noteFailure(keyOf(m_placement.target.id),
                                       failure == SendFailure::NotSent);
    }
    m_failedTargets.insert(m_placement.target.id);
    handleFailure(failure);
}

void Exchange::handleFailure(SendFailure failure)
{
    const NextStep step = limits::nextStep(*m_route, failure, m_history);
    const bool isSendAgain = step == NextStep::SendAgain || step == NextStep::ResumeElsewhere;
    // Only what reached a target before counts as a repeat.
    const bool isRepeat = m_history.sends > 0;
    const bool isAllowed = isSendAgain && timeLeft() > Milliseconds()
                           && (!isRepeat || m_services.ingress.takeRepeat(m_service->id));
    m_services.metrics.countSendFailure(m_placement.target.id, failure);
    LOG(INFO) << "exchange: send failed id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value << " failure=" << nameOf(failure)
              << " reused=" << m_send.isReused() << " sends=" << m_history.sends
              << " events=" << m_scanner.count << " step=" << nameOf(step)
              << " allowed=" << isAllowed;
    m_failedTargets.insert(m_placement.target.id);
    if (isAllowed)
        send();
    else
        giveUp("target-failed", declinedDelay, 502);
}

void Exchange::endSend(bool isServed)
{
    m_services.reactor.cancel(m_silenceTimer);
    m_services.reactor.cancel(m_turnTimer);
    if (m_waitingWork != 0) {
        m_services.placement.noteEnd(m_waitingWork, false);
        m_waitingWork = 0;
    }
    if (m_tickets) {
        m_tickets->release();
        m_tickets.reset();
    }
    if (m_placement.work != 0) {
        m_services.placement.noteEnd(m_placement.work, isServed);
        m_placement.work = 0;
    }
}

void Exchange::onCallerGone()
{
    if (m_isOver)
        return;
    m_send.cancel();
    endSend();
    finish(0, "caller-gone");
}

void Exchange::onTimeUp()
{
    m_endTimer = 0;
    if (m_isOver)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    giveUp("time-up", declinedDelay, 504);
}

void Exchange::giveUp(std::string_view reason, Milliseconds retryAfter, int statusIfUnknown)
{
    m_send.cancel();
    endSend();
    if (m_history.hasAnswerBegun)
        abortResponse(reason);
    else if (m_hasFallback)
        passFallback();
    else if (limits::verdictOf(m_history) == Verdict::NotRun)
        answerNotRun(reason, retryAfter);
    else
        answerOwn(statusIfUnknown, reason);
}

void Exchange::stop()
{
    if (m_isOver)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    giveUp("stopping", stoppingRetryDelay, 502);
}

void Exchange::finish(int status, std::string_view outcome)
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_services.reactor.cancel(m_endTimer);
    m_services.reactor.cancel(m_silenceTimer);
    const Milliseconds now = m_services.reactor.now();
    const Milliseconds first =
        m_firstEventAt > Milliseconds() ? m_firstEventAt - m_arrivedAt : Milliseconds();
    LOG(INFO) << "exchange: ended id=" << m_caller.requestId
              << " route=" << (m_route != nullptr ? m_route->name : "none")
              << " team=" << m_team.value << " status=" << status << " outcome=" << outcome
              << " verdict=\"" << nameOf(limits::verdictOf(m_history))
              << "\" sends=" << m_history.sends << " events=" << m_scanner.count
              << " first_ms=" << first.count() << " expected_ms=" << m_placement.expectedMs
              << " longest_pause_ms=" << m_longestPause.count()
              << " total_ms=" << (now - m_arrivedAt).count();
    RequestSummary summary;
    summary.team = m_team;
    if (m_route != nullptr)
        summary.kind = m_route->repetition;
    summary.status = status;
    summary.outcome = outcome;
    summary.firstSeconds = secondsOf(first);
    summary.longestPauseSeconds = secondsOf(m_longestPause);
    summary.totalSeconds = secondsOf(now - m_arrivedAt);
    m_services.metrics.countRequest(summary);
    const std::shared_ptr<Exchange> self = weak_from_this().lock();
    m_services.reactor.defer([self] {});
    m_services.ingress.forget(*this);
}

} // namespace egretmount::node
