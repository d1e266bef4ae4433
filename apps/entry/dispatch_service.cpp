#include "dispatch_service.h"

#include <utility>

#include <glog/logging.h>

#include "config_service.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds tickInterval = 10_ms;

std::vector<routing::TargetView> viewsOf(const config::FleetDocument &document)
{
    std::vector<routing::TargetView> views;
    for (const config::Target &target : document.targets) {
        routing::TargetView view;
        view.id = target.id;
        view.service = target.service;
        view.zone = target.zone;
        view.address = target.address;
        view.acceptsNewWork = config::acceptsNewWork(document, target);
        view.capacity = target.capacity;
        view.spendable = target.capacity;
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace

DispatchService::DispatchService(kernel::Loop &loop, kernel::Registry &registry,
                                 const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
{
    m_state.policy = settings.lanePolicy;
    m_state.ownZone = settings.zone;
    m_state.random =
        Random(static_cast<std::uint64_t>(monotonicNow().count()) ^ stableHash(settings.id.value));
}

void DispatchService::start()
{
    ConfigService &config = m_registry.find<ConfigService>();
    config.onDocument(
        [this, &config](const config::FleetDocument &) { takeDocument(config.document()); });
    m_loop.every(tickInterval, [this] { carryOut(routing::tick(m_state, monotonicNow())); });
}

void DispatchService::submit(const Request &request, Decided decided)
{
    m_loop.post([this, request, decided = std::move(decided)] { decide(request, decided); });
}

void DispatchService::withdraw(const RequestId &id)
{
    m_loop.post([this, id] {
        if (m_undecided.erase(id) > 0)
            routing::withdraw(m_state, id);
    });
}

void DispatchService::noteFirstToken(const RequestId &id)
{
    m_loop.post([this, id] { carryOut(routing::noteFirstToken(m_state, id, monotonicNow())); });
}

void DispatchService::noteReport(const TargetId &target, const routing::LoadReport &report)
{
    m_loop.post([this, target, report] {
        carryOut(routing::noteReport(m_state, target, report, monotonicNow()));
    });
}

void DispatchService::finish(const RequestId &id, Outcome outcome, TokenCount generated)
{
    m_loop.post([this, id, outcome, generated] {
        carryOut(routing::finish(m_state, id, outcome, generated, monotonicNow()));
    });
}

bool DispatchService::takeRetry()
{
    return m_loop.call([this] { return admission::takeRetry(m_retries); });
}

void DispatchService::setSpendable(const TargetId &target, const config::Capacity &spendable)
{
    carryOut(routing::setSpendable(m_state, target, spendable, monotonicNow()));
}

void DispatchService::takeDocument(const std::shared_ptr<const config::FleetDocument> &document)
{
    m_document = document;
    carryOut(routing::setTargets(m_state, viewsOf(*document), monotonicNow()));
}

void DispatchService::decide(const Request &request, const Decided &decided)
{
    if (!m_document || !config::findService(*m_document, request.service))
        return decided(fail(ErrorId::UnknownService, Verdict::NotRun, "no such service"));
    const config::Team *team = config::findTeam(*m_document, request.team);
    admission::noteRequest(m_retries);
    if (!m_undecided.emplace(request.id, decided).second) {
        return decided(fail(ErrorId::Overloaded, Verdict::NotRun,
                            "a request with this id is being served",
                            admission::retryAfter({}, m_state.random)));
    }
    const double weight = team ? static_cast<double>(team->weight) : 1.0;
    carryOut(routing::submit(m_state, request, weight, monotonicNow()));
}

void DispatchService::carryOut(const routing::Decisions &decisions)
{
    for (const routing::Assigned &assigned : decisions.assigned)
        answer(assigned.request, makeAssignment(assigned));
    for (const routing::Refused &refused : decisions.refused)
        answer(refused.request, tl::make_unexpected(refused.error));
}

void DispatchService::answer(const RequestId &id, Result<Assignment> result)
{
    const auto found = m_undecided.find(id);
    if (found == m_undecided.end())
        return;
    const Decided decided = std::move(found->second);
    m_undecided.erase(found);
    decided(std::move(result));
}

Result<Assignment> DispatchService::makeAssignment(const routing::Assigned &assigned)
{
    const routing::TargetView *view = routing::findView(m_state, assigned.target);
    const config::Service *service = config::findService(*m_document, view->service);
    const Milliseconds silence = service ? service->silenceTimeout : Milliseconds();
    return Assignment { view->id, view->address, silence, assigned.enginePriority };
}

} // namespace egretmount::entry
