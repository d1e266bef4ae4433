#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/limits/stall_detection.h>
#include <egretmount/placement/migration.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "ingress_service.h"
#include "reach_service.h"
#include "relay_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

constexpr Milliseconds stallCheckInterval = Milliseconds(150);
// While no target can be reached, silence of this length means that the connection is cut, too.
constexpr Milliseconds cutOffSilence = Milliseconds(500);

} // namespace

void Exchange::scheduleStallCheck()
{
    m_services.reactor.cancel(m_stallTimer);
    if (m_route->retrySemantics == fleet::RetrySemantics::AtMostOnce)
        return;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_stallTimer = m_services.reactor.after(stallCheckInterval, [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock()) {
            self->m_stallTimer = 0;
            self->checkForStall();
        }
    });
}

bool Exchange::isCutOff() const
{
    const Milliseconds now = m_services.reactor.now();
    const TargetHealth &health = m_services.targets.health(keyOf(m_placement.target.id));
    return !m_placement.isRelay && m_services.reach.reachesNone()
           && now - std::max({ m_lastEventAt, m_sentAt, health.lastReceivedAt }) >= cutOffSilence;
}

bool Exchange::isTargetStalled() const
{
    if (isCutOff())
        return true;
    const Milliseconds now = m_services.reactor.now();
    const Milliseconds idleTime = now - m_lastEventAt;
    if (m_placement.entryId == 0)
        return limits::isStalled(idleTime, m_deadline - m_arrivedAt);
    const TargetHealth &health = m_services.targets.health(keyOf(m_placement.target.id));
    limits::StreamActivity stream;
    stream.idleTime = idleTime;
    stream.targetIdleTime = now - std::max({ health.lastReceivedAt, m_sentAt, m_reportedBusyAt });
    stream.isDecoding = m_isDecoding;
    stream.eventGapTarget = m_route->eventGapTarget;
    stream.expectedMs = m_placement.expectedMs;
    stream.backlogMs = m_services.placement.prefillBacklog(m_placement.target.id);
    return limits::isStalled(stream);
}

bool Exchange::canMigrate() const
{
    const limits::NextStep step =
        limits::nextStep(*m_route, limits::SendFailure::Broken, m_history);
    return step == limits::NextStep::Retry || step == limits::NextStep::ResumeElsewhere;
}

std::optional<Proposal> Exchange::proposeElsewhere()
{
    std::set<TargetId> excluded = m_failedTargets;
    excluded.insert(m_placement.target.id);
    if (m_services.crashes.blockedFor(m_causes))
        return std::nullopt;
    if (m_services.relay.isNeeded()) {
        if (m_source == RequestSource::Instance)
            return std::nullopt;
        if (const std::optional<Placement> relay = m_services.relay.place(excluded))
            return Proposal { *relay, {}, {} };
    }
    if (!hasPrompt())
        return m_services.placement.proposePlain(*m_service, excluded);
    return m_services.placement.proposePrompt(*m_service, demand(), excluded, timeLeft());
}

void Exchange::migrateTo(const Placement &placement)
{
    m_failedTargets.insert(m_placement.target.id);
    m_send->cancel();
    endSend();
    reserveAndSend(placement);
}

void Exchange::checkForStall()
{
    if (m_isOver)
        return;
    if (m_send->isPaused() || !canMigrate() || !isTargetStalled()) {
        scheduleStallCheck();
        return;
    }
    if (m_placement.entryId == 0 || isCutOff()) {
        leaveStalledTarget();
        return;
    }
    // An engine that is busy with a long prefill is as silent as a failed one, and leaving it would
    // discard the prefill.
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_services.targets.probe(m_placement.target,
                             [weak, probed = m_placement.entryId](limits::TargetState state) {
                                 const std::shared_ptr<Exchange> self = weak.lock();
                                 if (self && !self->m_isOver && self->m_placement.entryId == probed)
                                     self->onStalledTargetProbed(state);
                             });
}

void Exchange::onStalledTargetProbed(limits::TargetState state)
{
    // The target may have sent something while the probe was in progress.
    if (isTargetStalled() && limits::shouldLeaveStalledTarget(state, m_busyReports)) {
        leaveStalledTarget();
        return;
    }
    LOG(INFO) << "exchange: silent target kept id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value << " state=" << nameOf(state)
              << " busy_reports=" << m_busyReports
              << " quiet_ms=" << (m_services.reactor.now() - m_lastEventAt).count();
    ++m_busyReports;
    m_reportedBusyAt = m_services.reactor.now();
    scheduleStallCheck();
}

void Exchange::leaveStalledTarget()
{
    // The current send continues if no other target is available, as the target may still respond.
    const std::optional<Proposal> proposal = proposeElsewhere();
    if (!proposal || !m_services.ingress.tryAcquireRetry(m_service->id)) {
        scheduleStallCheck();
        return;
    }
    const TargetId stalledTarget = m_placement.target.id;
    LOG(INFO) << "exchange: target stalled, sending elsewhere id=" << m_caller.requestId
              << " target=" << stalledTarget.value
              << " quiet_ms=" << (m_services.reactor.now() - m_lastEventAt).count()
              << " events=" << m_scanner.count;
    if (!m_placement.isRelay && !isCutOff())
        m_services.targets.recordFailure(keyOf(stalledTarget), m_service->engine.has_value());
    tryElsewhere(m_services.placement.accept(*m_service, *proposal, timeLeft()));
}

placement::EngineKey Exchange::engine() const
{
    return m_placement.entryId != 0 ? keyOf(m_placement.target.id) : 0;
}

void Exchange::migrate()
{
    // Prompts that hold memory at helper engines are not migrated: their callers expect long waits.
    if (m_isOver || m_placement.entryId == 0 || m_reservations || m_send->isPaused()
        || !canMigrate())
        return;
    const Milliseconds now = m_services.reactor.now();
    placement::StalledStream stream;
    stream.idleMs = static_cast<double>((now - std::max(m_lastEventAt, m_sentAt)).count());
    stream.clientTimeoutMs = static_cast<double>(limits::clientTimeout(*m_route).count());
    const double stayMs = m_services.placement.prefillBacklog(m_placement.target.id);
    // Check with a migration cost of zero first: no real engine can be faster, and planning a
    // placement takes a while.
    if (!placement::shouldMigrate(stream, stayMs, 0))
        return;
    const std::optional<Proposal> proposal = proposeElsewhere();
    if (!proposal)
        return;
    const double moveMs = proposal->placement.expectedMs;
    const bool isBetter = placement::shouldMigrate(stream, stayMs, moveMs);
    const bool isAllowed = isBetter && m_services.ingress.tryAcquireRetry(m_service->id);
    LOG(INFO) << "exchange: stream stalled by a long prefill id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value << " stay_ms=" << stayMs
              << " move_ms=" << moveMs << " better=" << isBetter << " moved=" << isAllowed;
    if (isAllowed)
        migrateTo(m_services.placement.accept(*m_service, *proposal, timeLeft()));
}

} // namespace egretmount::node
