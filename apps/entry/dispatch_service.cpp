#include "dispatch_service.h"

#include <algorithm>

#include <glog/logging.h>

#include "config_service.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds failurePause = 1'000_ms;
constexpr Milliseconds leastRetryAfter = 200_ms;
constexpr Milliseconds mostRetryAfter = 1'200_ms;

} // namespace

DispatchService::DispatchService(kernel::Loop &loop, kernel::Registry &registry,
                                 const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_zone(settings.zone)
    , m_random(static_cast<std::uint64_t>(monotonicNow().count()))
{ }

void DispatchService::start()
{
    m_registry.find<ConfigService>().onDocument(
        [this](const config::FleetDocument &document) { takeDocument(document); });
}

void DispatchService::submit(const Request &request, Decided decided)
{
    m_loop.post([this, request, decided = std::move(decided)] { decide(request, decided); });
}

void DispatchService::noteFirstToken(const RequestId &id)
{
    m_loop.post([this, id] {
        const auto held = m_held.find(id);
        if (held == m_held.end() || held->second.hasFirstToken)
            return;
        held->second.hasFirstToken = true;
        routing::TargetView *view = find(held->second.target);
        if (view)
            view->waitingPromptTokens -= held->second.request.promptTokens;
    });
}

void DispatchService::noteReport(const TargetId &target, const routing::LoadReport &report)
{
    m_loop.post([this, target, report] {
        routing::TargetView *view = find(target);
        if (view)
            view->report = report;
    });
}

void DispatchService::finish(const RequestId &id, Outcome outcome)
{
    m_loop.post([this, id, outcome] {
        const auto held = m_held.find(id);
        if (held == m_held.end())
            return;
        routing::TargetView *view = find(held->second.target);
        if (view) {
            const Request &request = held->second.request;
            view->inFlight.tokens -= request.memoryTokens();
            --view->inFlight.slots;
            if (!held->second.hasFirstToken)
                view->waitingPromptTokens -= request.promptTokens;
            if (outcome == Outcome::Failed)
                view->failedUntil = monotonicNow() + failurePause;
        }
        m_held.erase(held);
    });
}

void DispatchService::takeDocument(const config::FleetDocument &document)
{
    std::vector<routing::TargetView> views;
    for (const config::Target &target : document.targets) {
        routing::TargetView view;
        const routing::TargetView *known = find(target.id);
        if (known)
            view = *known;
        view.id = target.id;
        view.service = target.service;
        view.zone = target.zone;
        view.address = target.address;
        view.acceptsNewWork = config::acceptsNewWork(document, target);
        view.spendable = target.capacity;
        views.push_back(view);
    }
    m_targets = std::move(views);
}

void DispatchService::decide(const Request &request, const Decided &decided)
{
    const Milliseconds now = monotonicNow();
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const config::Service *service =
        document ? config::findService(*document, request.service) : nullptr;
    if (!service)
        return decided(fail(ErrorId::UnknownService, Verdict::NotRun, "no such service"));
    const routing::TargetView *choice = routing::chooseTarget(m_targets, request, m_zone, now);
    if (!choice) {
        return decided(fail(ErrorId::Overloaded, Verdict::NotRun, "no target has room",
                            m_random.between(leastRetryAfter, mostRetryAfter)));
    }
    routing::TargetView *view = find(choice->id);
    view->inFlight.tokens += request.memoryTokens();
    ++view->inFlight.slots;
    view->waitingPromptTokens += request.promptTokens;
    m_held[request.id] = { request, view->id, false };
    decided(Assignment { view->id, view->address, service->silenceTimeout });
}

routing::TargetView *DispatchService::find(const TargetId &id)
{
    const auto found =
        std::find_if(m_targets.begin(), m_targets.end(),
                     [&id](const routing::TargetView &view) { return view.id == id; });
    return found == m_targets.end() ? nullptr : &*found;
}

} // namespace egretmount::entry
