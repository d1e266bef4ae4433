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
    m_credit = &m_registry.find<CreditService>();
    m_credit->onShareChanged([this] { refreshShares(); });
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
        m_credit->noteFirstToken(held->second.target, held->second.request.promptTokens,
                                 monotonicNow() - held->second.assignedAt);
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
        m_credit->noteReport(
            target, { report.bootId, { report.usedTokens, report.usedSlots }, report.isWarm },
            monotonicNow());
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
        // A target ends a request at its deadline at the latest; until then it may still hold it.
        m_credit->release(id, outcome == Outcome::Completed ? Ending::Certain : Ending::Unknown);
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
        views.push_back(view);
    }
    m_targets = std::move(views);
    refreshShares();
}

void DispatchService::refreshShares()
{
    for (routing::TargetView &view : m_targets)
        view.spendable = m_credit->share(view.id);
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
    refreshShares();
    const routing::TargetView *choice = routing::chooseTarget(m_targets, request, m_zone, now);
    if (!choice)
        return borrow(request, decided);
    assign(*find(choice->id), request, decided);
}

void DispatchService::assign(routing::TargetView &view, const Request &request,
                             const Decided &decided)
{
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    const config::Service *service = config::findService(*document, view.service);
    m_credit->take(view.id, request);
    view.inFlight.tokens += request.memoryTokens();
    ++view.inFlight.slots;
    view.waitingPromptTokens += request.promptTokens;
    m_held[request.id] = { request, view.id, monotonicNow(), false };
    decided(
        Assignment { view.id, view.address, service ? service->silenceTimeout : Milliseconds() });
}

void DispatchService::borrow(const Request &request, const Decided &decided)
{
    const Milliseconds now = monotonicNow();
    const routing::TargetView *best = nullptr;
    for (const routing::TargetView &view : m_targets) {
        const bool isEligible = view.service == request.service && view.acceptsNewWork
                                && view.failedUntil <= now && m_credit->mayBorrow(view.id, request);
        if (isEligible && (!best || view.waitingPromptTokens < best->waitingPromptTokens))
            best = &view;
    }
    if (!best)
        return decided(tl::make_unexpected(overloadError()));
    const TargetId target = best->id;
    m_credit->borrow(target, request, [this, target, request, decided](bool isGranted) {
        routing::TargetView *view = find(target);
        if (!isGranted || !view)
            return decided(tl::make_unexpected(overloadError()));
        assign(*view, request, decided);
    });
}

Error DispatchService::overloadError()
{
    return { ErrorId::Overloaded, Verdict::NotRun, "no target has room",
             m_random.between(leastRetryAfter, mostRetryAfter) };
}

routing::TargetView *DispatchService::find(const TargetId &id)
{
    const auto found =
        std::find_if(m_targets.begin(), m_targets.end(),
                     [&id](const routing::TargetView &view) { return view.id == id; });
    return found == m_targets.end() ? nullptr : &*found;
}

} // namespace egretmount::entry
