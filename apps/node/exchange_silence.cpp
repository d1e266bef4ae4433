#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/limits/silence.h>
#include <egretmount/placement/migration.h>

#include "fleet_service.h"
#include "ingress_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// How often a send is checked for silence.
constexpr Milliseconds silenceCheck = Milliseconds(150);

} // namespace

void Exchange::watchSilence()
{
    m_services.reactor.cancel(m_silenceTimer);
    if (m_route->retrySemantics == fleet::RetrySemantics::AtMostOnce)
        return;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_silenceTimer = m_services.reactor.after(silenceCheck, [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock()) {
            self->m_silenceTimer = 0;
            self->onSilent();
        }
    });
}

bool Exchange::isTargetSilent() const
{
    const Milliseconds now = m_services.reactor.now();
    const Milliseconds quiet = now - m_lastEventAt;
    if (m_placement.work == 0)
        return limits::isSilent(quiet, m_endsAt - m_arrivedAt);
    const TargetHealth &health = m_services.targets.health(keyOf(m_placement.target.id));
    limits::StreamSilence stream;
    stream.quiet = quiet;
    stream.unheard = now - std::max(health.lastHeard, m_sentAt);
    stream.isWriting = m_isWriting;
    stream.eventGapTarget = m_route->eventGapTarget;
    stream.expectedMs = m_placement.expectedMs;
    stream.backlogMs = m_services.placement.prefillBacklog(m_placement.target.id);
    return limits::isSilent(stream);
}

bool Exchange::mayMove() const
{
    const limits::NextStep step =
        limits::nextStep(*m_route, limits::SendFailure::Broken, m_history);
    return step == limits::NextStep::SendAgain || step == limits::NextStep::ResumeElsewhere;
}

std::optional<Placement> Exchange::placeElsewhere()
{
    const auto [position, isAdded] = m_failedTargets.insert(m_placement.target.id);
    const Decision decision = place();
    if (isAdded)
        m_failedTargets.erase(position);
    const Placement *placement = std::get_if<Placement>(&decision);
    return placement != nullptr ? std::optional<Placement>(*placement) : std::nullopt;
}

void Exchange::moveTo(const Placement &placement)
{
    m_failedTargets.insert(m_placement.target.id);
    m_send.cancel();
    endSend();
    prepare(placement);
}

void Exchange::onSilent()
{
    if (m_isOver)
        return;
    if (!mayMove() || !isTargetSilent()) {
        watchSilence();
        return;
    }
    // The present send goes on unless there is something better: a silent target may yet answer.
    const std::optional<Placement> placement = placeElsewhere();
    if (!placement || !m_services.ingress.takeRepeat(m_service->id)) {
        if (placement)
            m_services.placement.noteEnd(placement->work, false);
        watchSilence();
        return;
    }
    const TargetId silent = m_placement.target.id;
    LOG(INFO) << "exchange: target silent id=" << m_caller.requestId << " target=" << silent.value
              << " quiet_ms=" << (m_services.reactor.now() - m_lastEventAt).count()
              << " events=" << m_scanner.count;
    m_services.targets.noteFailure(keyOf(silent), m_service->engine.has_value());
    moveTo(*placement);
}

placement::EngineKey Exchange::engine() const
{
    return m_placement.work != 0 ? keyOf(m_placement.target.id) : 0;
}

void Exchange::relocate()
{
    // A prompt that holds memory at other engines stays; its caller waits for long anyway.
    if (m_isOver || m_placement.work == 0 || m_tickets || !mayMove())
        return;
    const Milliseconds now = m_services.reactor.now();
    placement::StalledStream stream;
    stream.idleMs = static_cast<double>((now - std::max(m_lastEventAt, m_sentAt)).count());
    stream.clientTimeoutMs = static_cast<double>(limits::patienceOf(*m_route).count());
    const double stay = m_services.placement.prefillBacklog(m_placement.target.id);
    // No other engine can do better than this; asking for one enters it into the ledger.
    if (!placement::shouldMigrate(stream, stay, 0))
        return;
    const std::optional<Placement> placement = placeElsewhere();
    if (!placement)
        return;
    const bool isBetter = placement::shouldMigrate(stream, stay, placement->expectedMs);
    const bool isAllowed = isBetter && m_services.ingress.takeRepeat(m_service->id);
    LOG(INFO) << "exchange: engine reads id=" << m_caller.requestId
              << " target=" << m_placement.target.id.value << " stay_ms=" << stay
              << " move_ms=" << placement->expectedMs << " better=" << isBetter
              << " moved=" << isAllowed;
    if (isAllowed)
        moveTo(*placement);
    else
        m_services.placement.noteEnd(placement->work, false);
}

} // namespace egretmount::node
