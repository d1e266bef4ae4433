#include "dispatch_service.h"

#include <utility>

#include <glog/logging.h>

#include "config_service.h"
#include "metrics_service.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds tickInterval = 10_ms;
constexpr std::uint64_t ticksPerFullLook = 10;

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
        view.spendable = config::Capacity();
        views.push_back(std::move(view));
    }
    return views;
}

Result<Assignment> noRoom(Random &random)
{
    return fail(ErrorId::Overloaded, Verdict::NotRun, "the target has no room",
                admission::retryAfter({}, random));
}

} // namespace

DispatchService::DispatchService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                                 const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_self(settings.id)
{
    m_state.policy = settings.lanePolicy;
    m_state.ownZone = settings.zone;
    m_state.random =
        Random(static_cast<std::uint64_t>(monotonicNow().count()) ^ digestHash(settings.id.value));
}

void DispatchService::start()
{
    ConfigService &config = m_registry.find<ConfigService>();
    config.onDocument(
        [this, &config](const config::FleetDocument &) { takeDocument(config.document()); });
    config.onList([this](const membership::InstanceList &list) { takeList(list); });
    m_credit = &m_registry.find<CreditService>();
    m_credit->onShareChanged([this] { refreshShares(); });
    m_loop.every(tickInterval, [this] {
        // Shares that open with time are found by the full look; all others by their change.
        if (m_ticks++ % ticksPerFullLook == 0)
            refreshShares();
        else
            refreshChangedShares();
        carryOut(routing::tick(m_state, monotonicNow()));
        borrowForBlocked();
    });
}

void DispatchService::submit(const Request &request, Decided decided)
{
    m_loop.post([this, request, decided = std::move(decided)] { decide(request, decided); });
}

void DispatchService::reserve(const Request &request, const TargetId &target, Decided decided)
{
    m_loop.post([this, request, target, decided = std::move(decided)] {
        refreshChangedShares();
        if (place(routing::reserveAt(m_state, request, target, monotonicNow()), decided))
            return;
        if (!m_credit->mayBorrow(target, request))
            return decided(noRoom(m_state.random));
        m_credit->borrow(target, request, [this, request, target, decided](bool isGranted) {
            if (!isGranted)
                return decided(noRoom(m_state.random));
            // No share is taken anew here: it holds the loan, which is for this request alone.
            if (place(routing::reserveBorrowed(m_state, request, target, monotonicNow()), decided))
                return;
            m_credit->release(request.id, Ending::Certain);
            decided(noRoom(m_state.random));
        });
    });
}

bool DispatchService::place(const routing::Decisions &decisions, const Decided &decided)
{
    if (decisions.assigned.empty())
        return false;
    const routing::Assigned &assigned = decisions.assigned.front();
    if (!take(assigned)) {
        carryOut(routing::finish(m_state, assigned.request, Outcome::Cancelled, 0, monotonicNow()));
        return false;
    }
    decided(makeAssignment(assigned));
    return true;
}

std::optional<routing::SpanPlan> DispatchService::plan(const Request &request, std::size_t least)
{
    return m_loop.call([&] { return routing::planSpan(m_state, request, least, monotonicNow()); });
}

std::optional<TargetId> DispatchService::replacement(const routing::SpanPlan &plan,
                                                     std::size_t index, const Request &part)
{
    return m_loop.call(
        [&] { return routing::replaceShard(m_state, plan, index, part, monotonicNow()); });
}

bool DispatchService::needsSpan(const Request &request)
{
    return m_loop.call([&] { return routing::needsSpan(m_state, request); });
}

void DispatchService::cancelQueued(const RequestId &id)
{
    m_loop.post([this, id] {
        if (m_undecided.erase(id) == 0)
            return;
        routing::cancelQueued(m_state, id);
        returnTeamTokens(id);
    });
}

void DispatchService::onFirstToken(const RequestId &id)
{
    m_loop.post([this, id] {
        const auto running = m_state.running.find(id);
        if (running != m_state.running.end() && !running->second.hasFirstToken)
            m_credit->onFirstToken(running->second.target, running->second.request.promptTokens,
                                   monotonicNow() - running->second.sentAt);
        refreshChangedShares();
        carryOut(routing::onFirstToken(m_state, id, monotonicNow()));
    });
}

void DispatchService::applyReport(const TargetId &target, const routing::LoadReport &report)
{
    m_loop.post([this, target, report] {
        m_credit->applyReport(
            target, { report.bootId, { report.usedTokens, report.usedSlots }, report.isWarm },
            monotonicNow());
        m_registry.find<MetricsService>().recordWarmth(target, report.isWarm);
        refreshChangedShares();
        carryOut(routing::applyReport(m_state, target, report, monotonicNow()));
    });
}

void DispatchService::finish(const RequestId &id, Outcome outcome, TokenCount generated)
{
    m_loop.post([this, id, outcome, generated] {
        const bool isHeld = m_state.running.count(id) > 0;
        // A target ends a request at its deadline at the latest; until then it may still hold it.
        if (isHeld)
            m_credit->release(id,
                              outcome == Outcome::Completed ? Ending::Certain : Ending::Unknown);
        returnTeamTokens(id);
        refreshChangedShares();
        carryOut(routing::finish(m_state, id, outcome, generated, monotonicNow()));
    });
}

TokenCount DispatchService::estimateTokens(const Request &request)
{
    return m_loop.call([this, &request] {
        return admission::estimateTokens(m_estimator, request.service, request.team,
                                         request.promptBytes);
    });
}

void DispatchService::recordUsage(const Request &request, TokenCount promptTokens)
{
    m_loop.post([this, service = request.service, team = request.team, bytes = request.promptBytes,
                 promptTokens] {
        admission::recordUsage(m_estimator, service, team, bytes, promptTokens);
    });
}

bool DispatchService::tryAcquireRetry()
{
    return m_loop.call([this] { return admission::tryAcquireRetry(m_retries); });
}

void DispatchService::takeDocument(const std::shared_ptr<const config::FleetDocument> &document)
{
    m_document = document;
    carryOut(routing::setTargets(m_state, viewsOf(*document), monotonicNow()));
    refreshShares();
}

void DispatchService::takeList(const membership::InstanceList &list)
{
    std::vector<InstanceId> listed;
    for (const membership::ListedInstance &instance : list)
        listed.push_back(instance.id);
    admission::setInstances(m_limits, listed, m_self, monotonicNow());
}

void DispatchService::refreshShares()
{
    if (!m_document)
        return;
    for (const config::Target &target : m_document->targets)
        refreshShare(target.id);
}

void DispatchService::refreshChangedShares()
{
    if (m_credit->isPaused())
        return refreshShares();
    for (const TargetId &target : m_credit->takeChanged())
        refreshShare(target);
}

void DispatchService::refreshShare(const TargetId &target)
{
    const config::Capacity share = m_credit->share(target);
    const routing::TargetView *view = routing::findView(m_state, target);
    const bool isSame =
        view && view->spendable.tokens == share.tokens && view->spendable.slots == share.slots;
    if (view && !isSame)
        carryOut(routing::setSpendable(m_state, target, share, monotonicNow()));
}

void DispatchService::borrowForBlocked()
{
    for (const routing::CapacityBlockedRequest &blocked :
         routing::findCapacityBlockedRequests(m_state, monotonicNow())) {
        if (m_borrowing.count(blocked.request.id) == 0)
            borrow(blocked);
    }
}

void DispatchService::borrow(const routing::CapacityBlockedRequest &blocked)
{
    const Request &request = blocked.request;
    for (const TargetId &target : blocked.candidates) {
        if (!m_credit->mayBorrow(target, request))
            continue;
        m_borrowing.insert(request.id);
        m_credit->borrow(target, request, [this, target, id = request.id](bool isGranted) {
            m_borrowing.erase(id);
            if (!isGranted)
                return;
            // No share is taken anew here: it holds the loan, which is for this request alone.
            const routing::Decisions decisions =
                routing::dispatchToTarget(m_state, id, target, monotonicNow());
            // The request was answered meanwhile: what was borrowed for it goes back unused.
            if (m_state.running.count(id) == 0)
                m_credit->release(id, Ending::Certain);
            carryOut(decisions);
        });
        return;
    }
}

void DispatchService::decide(const Request &request, const Decided &decided)
{
    if (!m_document || !config::findService(*m_document, request.service))
        return decided(fail(ErrorId::UnknownService, Verdict::NotRun, "no such service"));
    const config::Team *team = config::findTeam(*m_document, request.team);
    admission::recordRequest(m_retries);
    if (!m_undecided.emplace(request.id, decided).second) {
        return decided(fail(ErrorId::Overloaded, Verdict::NotRun,
                            "a request with this id is being served",
                            admission::retryAfter({}, m_state.random)));
    }
    if (!takeTeamTokens(request, team)) {
        m_undecided.erase(request.id);
        return decided(fail(ErrorId::TeamLimitReached, Verdict::NotRun,
                            "the team's token limit is used up at this instance",
                            admission::retryAfter({}, m_state.random)));
    }
    const double weight = team ? static_cast<double>(team->weight) : 1.0;
    refreshChangedShares();
    carryOut(routing::submit(m_state, request, weight, monotonicNow()));
}

void DispatchService::carryOut(const routing::Decisions &decisions)
{
    std::vector<RequestId> withoutCredit;
    for (const routing::Assigned &assigned : decisions.assigned) {
        if (!take(assigned))
            withoutCredit.push_back(assigned.request);
    }
    // The share shrank after the dispatcher had last looked at it.
    for (const RequestId &id : withoutCredit) {
        answer(id, fail(ErrorId::Overloaded, Verdict::NotRun, "no target has room",
                        admission::retryAfter({}, m_state.random)));
        carryOut(routing::finish(m_state, id, Outcome::Cancelled, 0, monotonicNow()));
    }
    for (const routing::Assigned &assigned : decisions.assigned)
        answer(assigned.request, makeAssignment(assigned));
    for (const routing::Refused &refused : decisions.refused) {
        // A refused twin of a running request holds nothing of its own.
        if (m_state.running.count(refused.request) == 0)
            returnTeamTokens(refused.request);
        answer(refused.request, tl::make_unexpected(refused.error));
    }
}

bool DispatchService::takeTeamTokens(const Request &request, const config::Team *team)
{
    if (!team || team->tokenLimit == 0 || m_limited.count(request.id) > 0)
        return true;
    if (!admission::tryAcquireTokens(m_limits, team->id, team->tokenLimit, request.memoryTokens(),
                                     monotonicNow()))
        return false;
    m_limited.emplace(request.id, request);
    return true;
}

void DispatchService::returnTeamTokens(const RequestId &id)
{
    const auto limited = m_limited.find(id);
    if (limited == m_limited.end())
        return;
    admission::releaseTokens(m_limits, limited->second.team, limited->second.memoryTokens());
    m_limited.erase(limited);
}

bool DispatchService::take(const routing::Assigned &assigned)
{
    const auto running = m_state.running.find(assigned.request);
    return running != m_state.running.end()
           && m_credit->take(assigned.target, running->second.request);
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
    const Milliseconds silence = service ? service->idleTimeout : Milliseconds();
    return Assignment { view->id, view->address, silence, assigned.enginePriority };
}

} // namespace egretmount::entry
