#include "exchange.h"

#include <algorithm>
#include <sstream>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/limits/request_content.h>
#include <egretmount/limits/stall_detection.h>
#include <egretmount/limits/target_notices.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "held_send.h"
#include "id_text.h"
#include "ingress_service.h"
#include "metrics_service.h"
#include "relay_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

using limits::NextStep;
using limits::SendFailure;

// Delay before a new placement when a helper engine could not reserve memory.
constexpr Milliseconds memoryRetryDelay = Milliseconds(150);
// Retry-After for a request that was not executed: another target may have capacity immediately.
constexpr Milliseconds notRunRetryAfter = Milliseconds(250);

// A caller that still reads a response after the deadline drains some of it within this time.
constexpr Milliseconds deliveryCheckInterval = Milliseconds(1'000);

double toSeconds(Milliseconds time)
{
    return static_cast<double>(time.count()) / 1'000;
}

std::string admissionText(const std::optional<AdmissionSummary> &admission)
{
    if (!admission)
        return {};
    std::ostringstream text;
    text << " distance=" << admission->distance << " used_slots=" << admission->usedSlots
         << " slots=" << admission->slots << " deferred_ahead=" << admission->deferredAhead
         << " expected_wait_ms=" << admission->waitMs;
    return text.str();
}

std::string joinTargets(const std::vector<TargetId> &ids)
{
    std::string text;
    for (const TargetId &id : ids)
        text.append(text.empty() ? "" : ",").append(id.value);
    return text.empty() ? "none" : text;
}

} // namespace

Exchange::Exchange(const ExchangeServices &services,
                   std::shared_ptr<net::ServerConnection> connection, http::RequestHead head,
                   net::RequestBody body, RequestSource source)
    : m_services(services)
    , m_connection(std::move(connection))
    , m_requestHead(std::move(head))
    , m_body(std::make_shared<const std::string>(std::move(body.bytes)))
    , m_bodyDigest(body.digest)
    , m_bodyReservation(std::move(body.reservation))
    , m_source(source)
    , m_caller(platform::readCallerFields(m_requestHead))
    , m_arrivedAt(services.reactor.now())
    , m_send(makeSend())
{ }

std::shared_ptr<TargetSend> Exchange::makeSend()
{
    SendListener &listener = *this;
    return std::make_shared<TargetSend>(m_services.reactor, m_services.targets, listener);
}

Exchange::~Exchange()
{
    m_services.reactor.cancel(m_deadlineTimer);
    m_services.reactor.cancel(m_stallTimer);
    m_services.reactor.cancel(m_queueTimer);
}

void Exchange::start(double randomValue)
{
    m_randomValue = randomValue;
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
    if (!validateRequest())
        return;
    m_service = fleet::findService(*m_configuration, fleet::chooseService(*m_route, m_randomValue));
    if (m_service == nullptr) {
        refuse("service-unknown", outageRetryDelay());
        return;
    }
    Milliseconds timeout = m_route->timeout > Milliseconds()
                               ? m_route->timeout
                               : m_caller.deadline.value_or(Milliseconds(10'000));
    if (m_caller.deadline)
        timeout = std::min(timeout, *m_caller.deadline);
    m_deadline = m_arrivedAt + timeout;
    if (m_source == RequestSource::Caller) // otherwise the other instance has counted it
        m_services.ingress.recordRequest(m_service->id);
    m_services.crashes.recordRequest(m_route->name, m_causes);
    // The caller has the events up to this id, maybe from another instance.
    if (m_route->isResumable)
        http::continueAfter(m_scanner, m_caller.lastEventId);
    startDeadlineTimer(timeLeft());
    send();
}

void Exchange::startDeadlineTimer(Milliseconds delay)
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_deadlineTimer = m_services.reactor.after(delay, [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock())
            self->onDeadline();
    });
}

bool Exchange::validateRequest()
{
    const std::string host(
        http::fieldValue(m_requestHead.fields, "Host").value_or(std::string_view()));
    m_route = fleet::findRoute(*m_configuration, host, m_requestHead.target);
    // The instance that has passed the request on knows its route and its team.
    const bool isRelayed = m_source == RequestSource::Instance;
    if (m_route == nullptr) {
        respondWithError(isRelayed ? 503 : 404, "unknown-route");
        return false;
    }
    if (m_configuration->hasTeams && !m_route->isPublic) {
        const fleet::Team *team = fleet::findTeam(*m_configuration, m_caller.apiKey);
        if (team == nullptr) {
            respondWithError(isRelayed ? 503 : 401, "unknown-key");
            return false;
        }
        m_team = team->id;
        m_rank = fleet::rankOf(*m_route, team);
    } else {
        m_rank = fleet::rankOf(*m_route, nullptr);
    }
    if (isRelayed) {
        // The other instance counts it as one execution, and decides whether there is another.
        m_relayedRoute = *m_route;
        m_relayedRoute.maxTargets = 1;
        m_route = &m_relayedRoute;
    }
    m_causes = { { limits::CauseKind::Request,
                   limits::contentId({ m_requestHead.method, host, m_requestHead.target,
                                       m_team.value, m_bodyDigest }) } };
    for (const PromptPartId part : m_caller.sharedParts)
        m_causes.push_back({ limits::CauseKind::PromptPart, part });
    if (m_caller.requestId.empty()) {
        respondWithError(400, "no-request-id");
        return false;
    }
    return true;
}

Milliseconds Exchange::timeLeft() const
{
    return std::max(m_deadline - m_services.reactor.now(), Milliseconds());
}

Decision Exchange::place()
{
    if (const std::optional<Milliseconds> blocked = m_services.crashes.blockedFor(m_causes))
        return Refusal { RefusalReason::CrashesTargets, *blocked };
    if (m_services.relay.isNeeded()) {
        if (m_source == RequestSource::Instance)
            return Refusal { RefusalReason::NoneReached, {} };
        if (const std::optional<Placement> relay = m_services.relay.place(m_failedTargets))
            return *relay;
    }
    if (!hasPrompt())
        return m_services.placement.placePlain(*m_service, m_failedTargets);
    return m_services.placement.placePrompt(*m_service, demand(), m_failedTargets, timeLeft(),
                                            m_queueEntryId, m_history.sends > 0);
}

bool Exchange::hasPrompt() const
{
    return m_service->engine && m_caller.promptTokens > 0;
}

placement::Demand Exchange::demand() const
{
    placement::Demand demand;
    demand.promptTokens = m_caller.promptTokens;
    demand.maxOutputTokens = m_caller.maxOutputTokens;
    demand.weight = placement::weightOf(*m_service->engine, m_caller.promptTokens);
    demand.latencyTarget = m_route->latencyTarget;
    demand.waited = m_services.reactor.now() - m_arrivedAt;
    demand.eventGapTarget = m_route->eventGapTarget;
    demand.isAdmitted = m_isAdmitted;
    demand.clientTimeout = std::min(timeLeft(), limits::clientTimeout(*m_route));
    demand.rank = m_rank;
    demand.team = m_team.isEmpty() ? 0 : stableHash(m_team.value);
    demand.randomBits = stableHash(m_caller.requestId);
    demand.deferralId = m_deferralId;
    return demand;
}

void Exchange::send()
{
    const Decision decision = place();
    updateDeferral(decision);
    if (const Placement *placement = std::get_if<Placement>(&decision)) {
        if (placement->isRelay && m_queueEntryId != 0)
            m_services.placement.endRequest(m_queueEntryId, false); // the other one queues it
        m_queueEntryId = 0;
        m_isAdmitted = true;
        reserveAndSend(*placement);
    } else if (const Queued *queued = std::get_if<Queued>(&decision)) {
        waitInQueue(*queued);
    } else if (awaitsReturn(std::get<Refusal>(decision))) {
        waitInQueue({ m_queueEntryId, std::get<Refusal>(decision).retryAfter });
    } else {
        handleRefusal(std::get<Refusal>(decision));
    }
}

void Exchange::updateDeferral(const Decision &decision)
{
    const Queued *queued = std::get_if<Queued>(&decision);
    const std::uint64_t deferralId = queued != nullptr ? queued->deferralId : 0;
    if (deferralId == m_deferralId)
        return;
    m_services.placement.endDeferral(m_deferralId);
    m_deferralId = deferralId;
    if (deferralId == 0)
        return;
    const AdmissionSummary &admission = queued->admission;
    LOG(INFO) << "placement: request deferred id=" << m_caller.requestId << " team=" << m_team.value
              << " rank=" << admission.rank << " distance=" << admission.distance
              << " used_slots=" << admission.usedSlots << " slots=" << admission.slots
              << " deferred_ahead=" << admission.deferredAhead
              << " expected_wait_ms=" << admission.waitMs << " left_ms=" << timeLeft().count();
}

void Exchange::waitInQueue(const Queued &queued)
{
    if (m_queueEntryId == 0 && m_deferralId == 0) {
        LOG(INFO) << "placement: request queued id=" << m_caller.requestId
                  << " tokens=" << m_caller.promptTokens << " left_ms=" << timeLeft().count();
    }
    m_queueEntryId = queued.entryId;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_queueTimer = m_services.reactor.after(queued.pollAfter, [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock()) {
            self->m_queueTimer = 0;
            self->send();
        }
    });
}

bool Exchange::awaitsReturn(const Refusal &refusal) const
{
    // The targets that have failed the request do not count as returned.
    if (refusal.reason != RefusalReason::TurnedAway || !m_failedTargets.empty())
        return false;
    const Milliseconds waited = m_services.reactor.now() - m_arrivedAt;
    return limits::shouldAwaitReturn(waited + refusal.retryAfter, m_route->latencyTarget,
                                     m_deadline - m_arrivedAt);
}

Milliseconds Exchange::retryDelay(Milliseconds leastDelay) const
{
    const Milliseconds untilTarget = m_services.placement.timeUntilTarget(m_service->id);
    if (untilTarget <= leastDelay)
        return leastDelay;
    return limits::spreadReturn(untilTarget, stableHash(m_caller.requestId));
}

void Exchange::handleRefusal(const Refusal &refusal)
{
    LOG(INFO) << "placement: refused id=" << m_caller.requestId
              << " reason=" << nameOf(refusal.reason) << " tokens=" << m_caller.promptTokens
              << " left_ms=" << timeLeft().count() << " lane_engines=" << refusal.longPool.engines
              << " lane_backlog_ms=" << refusal.longPool.backlogMs
              << " lane_waiting_ms=" << refusal.longPool.queuedMs
              << " lane_demand=" << refusal.longPool.demand << " rank=" << m_rank
              << admissionText(refusal.admission)
              << " retry_after_ms=" << refusal.retryAfter.count();
    m_services.metrics.countRefusal(nameOf(refusal.reason));
    if (resumeHeldSend())
        return;
    failRequest(nameOf(refusal.reason),
                refusal.reason == RefusalReason::TurnedAway ? retryDelay({}) : refusal.retryAfter,
                502);
}

void Exchange::reserveAndSend(const Placement &placement)
{
    if (placement.reservations.empty()) {
        sendTo(placement);
        return;
    }
    m_placement = placement;
    m_reservations = std::make_shared<MemoryReservations>(m_services.reactor, m_services.targets,
                                                          placement.reservations);
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_reservations->reserve([weak, placement](bool isReserved) {
        const std::shared_ptr<Exchange> self = weak.lock();
        if (!self || self->m_isOver)
            return;
        if (isReserved) {
            if (self->isPlacementUsable())
                self->sendTo(placement);
            else
                self->placeAnew();
            return;
        }
        LOG(INFO) << "placement: helper engines did not reserve memory id="
                  << self->m_caller.requestId << " tickets=" << placement.reservations.size();
        self->endSend();
        if (self->timeLeft() > Milliseconds())
            self->waitInQueue({ 0, memoryRetryDelay });
    });
}

void Exchange::sendTo(const Placement &placement)
{
    m_placement = placement;
    m_isDecoding = false;
    m_decodedEvents = 0;
    m_busyReports = 0;
    platform::ForwardFields fields;
    fields.target = placement.target.id;
    fields.team = m_team;
    fields.timeLeft = timeLeft();
    fields.helperNames = placement.helperNames;
    if (m_services.placement.loadPolicy().hasRanks && m_service->engine)
        fields.rank = m_rank;
    if (m_history.canResume && m_scanner.hasEvents)
        fields.resumeAfter = m_scanner.lastId;
    http::beginNextResponse(m_scanner);
    m_buffer.clear();
    LOG(INFO) << "placement: " << (placement.isRelay ? "relayed" : "sent")
              << " id=" << m_caller.requestId << " target=" << placement.target.id.value
              << " helpers=" << joinTargets(placement.helpers)
              << " part_ms=" << placement.shardPrefillMs << " tokens=" << m_caller.promptTokens
              << " waited_ms=" << (m_services.reactor.now() - m_arrivedAt).count()
              << " expected_ms=" << placement.expectedMs << " left_ms=" << fields.timeLeft.count()
              << " sends=" << m_history.sends << " config=" << m_configuration->version
              << " causes=" << joinCauses(m_causes);
    const bool needsNewConnection = !limits::isRepeatable(*m_route);
    m_sentAt = m_lastEventAt = m_services.reactor.now();
    const std::string head =
        placement.isRelay ? platform::relayedHead(
            m_requestHead, { fields.timeLeft, fields.resumeAfter }, m_body->size())
                          : platform::forwardedHead(m_requestHead, fields, m_body->size());
    m_send->start(placement.target, placement.isRelay ? Receiver::Instance : Receiver::Target, head,
                  m_body, m_requestHead.method, m_caller.requestId, needsNewConnection);
    scheduleStallCheck();
}

bool Exchange::isPlacementUsable() const
{
    const TargetPool &targets = m_services.targets;
    if (m_placement.isRelay)
        return !m_services.crashes.blockedFor(m_causes)
               && m_services.relay.mayReceive(m_placement.target.id);
    return !m_services.crashes.blockedFor(m_causes) && targets.mayReceive(m_placement.target.id)
           && std::all_of(m_placement.helpers.begin(), m_placement.helpers.end(),
                          [&](const TargetId &helper) { return targets.mayHelp(helper); });
}

void Exchange::placeAnew()
{
    LOG(INFO) << "placement: request may not be sent any more, placed anew id="
              << m_caller.requestId << " target=" << m_placement.target.id.value
              << " helpers=" << joinTargets(m_placement.helpers);
    endSend();
    send();
}

bool Exchange::maySend()
{
    if (!isPlacementUsable())
        return false;
    if (m_placement.isRelay)
        return true; // the other instance applies the limits of targets
    if (!m_services.targets.tryAcquireSend(m_placement.target.id))
        return false;
    m_services.crashes.recordSend(m_causes);
    return true;
}

void Exchange::onRequestSent()
{
    ++m_history.sends;
    ++m_history.possibleExecutions;
}

void Exchange::onSendFailed(SendFailure failure, const std::string &failedTargetAddress)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    if (failure == SendFailure::Withheld) {
        placeAnew();
        return;
    }
    endSend();
    if (failure == SendFailure::Declined)
        --m_history.possibleExecutions;
    if (m_placement.isRelay) {
        onRelayFailed(failure);
        return;
    }
    if (failure == SendFailure::Declined) {
        if (!failedTargetAddress.empty() && failedTargetAddress != m_placement.target.address)
            m_services.ingress.recordFaultyAddress(failedTargetAddress);
    } else {
        // A kept connection says little about its target.
        m_services.targets.recordFailure(keyOf(m_placement.target.id),
                                         failure == SendFailure::NotSent && !m_send->isReused());
        if (failure == SendFailure::Broken && m_send->hasEnded() && !isPromptProven())
            m_services.crashes.onConnectionLost(m_placement.target, m_send->startedAt(), m_causes);
    }
    m_failedTargets.insert(m_placement.target.id);
    handleFailure(failure);
}

void Exchange::onRelayFailed(SendFailure failure)
{
    ++m_services.targets.health(keyOf(m_placement.target.id)).failuresInRow;
    m_failedTargets.insert(m_placement.target.id);
    const std::optional<double> retryAfterSeconds = m_send->responseFields().turnAwaySeconds;
    if (failure == SendFailure::Declined && retryAfterSeconds && !m_history.isResponseStarted) {
        // It reaches targets, but they have no capacity for the request now.
        LOG(INFO) << "placement: relay declined id=" << m_caller.requestId
                  << " instance=" << m_placement.target.id.value
                  << " retry_after_s=" << *retryAfterSeconds;
        if (resumeHeldSend())
            return;
        failRequest("relay-declined",
                    Milliseconds(static_cast<std::int64_t>(*retryAfterSeconds * 1'000)), 502);
        return;
    }
    handleFailure(failure);
}

void Exchange::handleFailure(SendFailure failure)
{
    const NextStep step = limits::nextStep(*m_route, failure, m_history);
    const bool mayRetry = step == NextStep::Retry || step == NextStep::ResumeElsewhere;
    // The retry budget counts a send only if an earlier one reached a target.
    const bool isRetry = m_history.sends > 0;
    // The next target might crash as well. A first crash says little: the request is one of many.
    const bool isUnsafe = failure == SendFailure::Broken && !isPromptProven()
                          && m_services.crashes.isSuspected(m_causes);
    const bool isAllowed = mayRetry && !isUnsafe && timeLeft() > Milliseconds()
                           && (!isRetry || m_services.ingress.tryAcquireRetry(m_service->id));
    m_services.metrics.countSendFailure(m_placement.target.id, failure);
    LOG(INFO) << "exchange: send failed id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value << " failure=" << nameOf(failure)
              << " reused=" << m_send->isReused() << " sends=" << m_history.sends
              << " events=" << m_scanner.count << " framing=" << nameOf(m_send->framing())
              << " connection=" << m_send->connectionEnd() << " step=" << nameOf(step)
              << " suspected=" << isUnsafe << " allowed=" << isAllowed;
    m_failedTargets.insert(m_placement.target.id);
    if (isAllowed)
        send();
    else if (!resumeHeldSend())
        failRequest("target-failed", retryDelay(notRunRetryAfter), 502);
}

void Exchange::endSend(bool isCompleted)
{
    m_services.reactor.cancel(m_stallTimer);
    m_services.reactor.cancel(m_queueTimer);
    m_services.placement.endDeferral(m_deferralId);
    m_deferralId = 0;
    if (m_queueEntryId != 0) {
        m_services.placement.endRequest(m_queueEntryId, false);
        m_queueEntryId = 0;
    }
    if (m_reservations) {
        m_reservations->release();
        m_reservations.reset();
    }
    if (m_placement.entryId != 0) {
        m_services.placement.endRequest(m_placement.entryId, isCompleted);
        m_placement.entryId = 0;
    }
}

void Exchange::onCallerGone()
{
    if (m_isOver)
        return;
    m_send->cancel();
    endSend();
    finish(0, "caller-gone");
}

void Exchange::onDeadline()
{
    m_deadlineTimer = 0;
    if (m_isOver)
        return;
    // A whole response is not cut off because its caller still reads it.
    const bool isDelivering = m_history.isResponseStarted && !m_isEventStream && m_hasAwaitedCaller
                              && m_send->framing() == http::Framing::Length;
    m_hasAwaitedCaller = false;
    if (isDelivering) {
        startDeadlineTimer(deliveryCheckInterval);
        return;
    }
    const std::shared_ptr<Exchange> self = shared_from_this();
    failRequest("time-up", notRunRetryAfter, 504);
}

void Exchange::failRequest(std::string_view reason, Milliseconds retryAfter, int statusIfUnknown)
{
    m_send->cancel();
    endSend();
    if (m_history.isResponseStarted)
        abortResponse(reason);
    else if (m_hasFallback)
        forwardFallback();
    else if (limits::verdictOf(m_history) == Verdict::NotRun)
        refuse(reason, retryAfter);
    else
        respondWithError(statusIfUnknown, reason);
}

void Exchange::retryDeferred()
{
    if (m_isOver || m_deferralId == 0)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    m_services.reactor.cancel(m_queueTimer);
    m_queueTimer = 0;
    send();
}

void Exchange::onBlocked()
{
    if (m_isOver || m_route == nullptr || m_awaitsConfiguration || m_history.isResponseStarted)
        return;
    const std::optional<Milliseconds> blocked = m_services.crashes.blockedForRunning(m_causes);
    if (!blocked)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    failRequest(nameOf(RefusalReason::CrashesTargets), *blocked, 502);
}

void Exchange::stop()
{
    if (m_isOver)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    failRequest("stopping", stoppingRetryAfter, 502);
}

void Exchange::finish(int status, std::string_view outcome)
{
    if (m_isOver)
        return;
    m_isOver = true;
    endHeldSend();
    m_services.reactor.cancel(m_deadlineTimer);
    m_services.reactor.cancel(m_stallTimer);
    const Milliseconds now = m_services.reactor.now();
    const Milliseconds first =
        m_firstEventAt > Milliseconds() ? m_firstEventAt - m_arrivedAt : Milliseconds();
    LOG(INFO) << "exchange: ended id=" << m_caller.requestId
              << " route=" << (m_route != nullptr ? m_route->name : "none")
              << " team=" << m_team.value << " status=" << status << " outcome=" << outcome
              << " verdict=\"" << nameOf(limits::verdictOf(m_history))
              << "\" sends=" << m_history.sends << " events=" << m_scanner.count
              << " first_ms=" << first.count() << " expected_ms=" << m_placement.expectedMs
              << " longest_pause_ms=" << m_longestEventGap.count()
              << " last_event=" << (m_scanner.lastId.empty() ? "none" : m_scanner.lastId)
              << " framing=" << nameOf(m_send->framing())
              << " connection=" << m_send->connectionEnd()
              << " total_ms=" << (now - m_arrivedAt).count();
    RequestSummary summary;
    summary.team = m_team;
    if (m_route != nullptr)
        summary.kind = m_route->retrySemantics;
    summary.status = status;
    summary.outcome = outcome;
    summary.firstEventSeconds = toSeconds(first);
    summary.longestEventGapSeconds = toSeconds(m_longestEventGap);
    summary.totalSeconds = toSeconds(now - m_arrivedAt);
    m_services.metrics.countRequest(summary);
    const std::shared_ptr<Exchange> self = weak_from_this().lock();
    m_services.reactor.defer([self] {});
    m_services.ingress.removeExchange(*this);
}

} // namespace egretmount::node
