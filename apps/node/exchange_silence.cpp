#include "exchange.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/limits/silence.h>

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
    if (m_route->repetition == fleet::Repetition::AtMostOnce)
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
    stream.pauseTarget = m_route->pauseTarget;
    stream.expectedMs = m_placement.expectedMs;
    stream.backlogMs = m_services.placement.readingBacklog(m_placement.target.id);
    return limits::isSilent(stream);
}

void Exchange::onSilent()
{
    if (m_isOver)
        return;
    const limits::NextStep step =
        limits::nextStep(*m_route, limits::SendFailure::Broken, m_history);
    const bool mayMove =
        step == limits::NextStep::SendAgain || step == limits::NextStep::ResumeElsewhere;
    if (!mayMove || !isTargetSilent()) {
        watchSilence();
        return;
    }
    // The present send goes on unless there is something better: a silent target may yet answer.
    std::set<TargetId> excluded = m_failedTargets;
    excluded.insert(m_placement.target.id);
    const TargetId silent = m_placement.target.id;
    std::swap(excluded, m_failedTargets);
    const Decision decision = place();
    const Placement *placement = std::get_if<Placement>(&decision);
    if (placement == nullptr || !m_services.ingress.takeRepeat(m_service->id)) {
        if (placement != nullptr)
            m_services.placement.noteEnd(placement->work, false);
        std::swap(excluded, m_failedTargets);
        watchSilence();
        return;
    }
    LOG(INFO) << "exchange: target silent id=" << m_caller.requestId << " target=" << silent.value
              << " quiet_ms=" << (m_services.reactor.now() - m_lastEventAt).count()
              << " events=" << m_scanner.count << " step=" << nameOf(step);
    m_send.cancel();
    endSend();
    m_services.targets.noteFailure(keyOf(silent), m_service->engine.has_value());
    prepare(*placement);
}

} // namespace egretmount::node
