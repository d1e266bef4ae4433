#include "credit_service.h"

#include <algorithm>

#include <glog/logging.h>

#include "config_service.h"
#include "dispatch_service.h"
#include "peer_service.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds sweepInterval = 50_ms;
constexpr Milliseconds pollInterval = 400_ms;
constexpr Milliseconds longestSettling = 5'000_ms;
constexpr Milliseconds slack = 100_ms;

credit::EscrowSettings escrowSettings(const EntrySettings &settings)
{
    credit::EscrowSettings escrow;
    escrow.listLag = settings.listLag;
    escrow.reportLag = settings.reportLag;
    escrow.maxDeadline = settings.maxDeadline;
    escrow.holdOff =
        escrow.listLag + escrow.pauseThreshold + escrow.grantValidity + escrow.reportLag + slack;
    return escrow;
}

// True once the guard of a share has opened, or nothing is guarded.
bool isOpen(const credit::Account &account, Milliseconds now)
{
    return account.takeover.hasSample || now >= account.takeover.endsAt
           || credit::fitsInto(account.share, account.confirmedShare);
}

} // namespace

CreditService::CreditService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                             const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_poller(loop,
               [this](const TargetId &target, const routing::LoadReport &report, Milliseconds) {
                   m_registry.find<DispatchService>().applyReport(target, report);
               })
{
    m_escrow.settings = escrowSettings(settings);
    m_warmthSettings.reportLag = settings.reportLag;
}

void CreditService::start()
{
    m_startedAt = monotonicNow();
    m_escrow.self = m_registry.find<PeerService>().self().run;
    m_escrow.lastTick = m_startedAt;
    m_leases.self = m_escrow.self;
    m_leases.startedAt = m_startedAt;
    ConfigService &config = m_registry.find<ConfigService>();
    config.onDocument([this](const config::FleetDocument &document) { takeDocument(document); });
    config.onList([this](const membership::InstanceList &list) { takeList(list); });
    m_loop.every(sweepInterval, [this] { sweep(); });
}

void CreditService::stop()
{
    m_poller.stop();
}

bool CreditService::isSettled() const
{
    const Milliseconds now = monotonicNow();
    if (now >= m_startedAt + longestSettling)
        return true;
    if (!m_roster || m_targets.empty())
        return false;
    const auto isReady = [this, now](const std::pair<const TargetId, credit::Account> &entry) {
        const credit::Account &account = entry.second;
        if (account.isCold)
            return !credit::leaseHolder(m_leases, entry.first, now).isEmpty();
        return isOpen(account, now);
    };
    return std::all_of(m_escrow.accounts.begin(), m_escrow.accounts.end(), isReady);
}

config::Capacity CreditService::share(const TargetId &target) const
{
    return credit::inFlightLimit(m_escrow, target, monotonicNow());
}

bool CreditService::isCold(const TargetId &target) const
{
    const credit::Account *account = credit::findAccount(m_escrow, target);
    return !account || account->isCold;
}

bool CreditService::take(const TargetId &target, const Request &request)
{
    follow(credit::cancelBorrow(m_escrow, request.id));
    // A request that has borrowed is in flight already.
    const auto reservation = m_escrow.reservations.find(request.id);
    if (reservation != m_escrow.reservations.end())
        return reservation->second.target == target;
    return credit::reserve(m_escrow, target, request, monotonicNow());
}

void CreditService::release(const RequestId &request, Ending ending)
{
    follow(credit::cancelBorrow(m_escrow, request));
    const auto reservation = m_escrow.reservations.find(request);
    if (reservation == m_escrow.reservations.end())
        return;
    const TargetId target = reservation->second.target;
    m_changed.insert(target);
    const bool isCertain = ending == Ending::Certain;
    sendReturns(target, credit::release(m_escrow, request, isCertain, monotonicNow()));
}

void CreditService::applyReport(const TargetId &target, const TargetLoad &load, Milliseconds now)
{
    if (m_addresses.count(target) == 0)
        return;
    credit::WarmupState &warmth = m_warmth[target];
    const Milliseconds lastReport = warmth.lastReport;
    if (credit::recordWarmupReport(warmth, load.bootId, load.isWarm, now)) {
        LOG(INFO) << "credit: a target has restarted target=" << target.value;
        credit::setCold(m_escrow, target, true, now);
        credit::onTargetRestart(m_escrow, target, lastReport - m_escrow.settings.reportLag);
    }
    setWarmth(target, now);
    credit::recordTargetLoad(m_escrow, target, load.used, now);
    m_changed.insert(target);
}

void CreditService::onFirstToken(const TargetId &target, TokenCount promptTokens, Milliseconds took)
{
    const Milliseconds now = monotonicNow();
    if (credit::recordFirstTokenTime(m_warmth[target], m_warmthSettings, promptTokens, took, now)) {
        LOG(WARNING) << "credit: first tokens are late, the target counts as cold target="
                     << target.value;
        setWarmth(target, now);
    }
}

std::vector<TargetId> CreditService::takeChanged()
{
    std::vector<TargetId> changed(m_changed.begin(), m_changed.end());
    m_changed.clear();
    return changed;
}

bool CreditService::isPaused() const
{
    return credit::isPaused(m_escrow, monotonicNow());
}

void CreditService::takeDocument(const config::FleetDocument &document)
{
    m_targets = document.targets;
    m_addresses.clear();
    for (const config::Target &target : m_targets)
        m_addresses[target.id] = target.address;
    refreshTargets();
}

void CreditService::takeList(const membership::InstanceList &list)
{
    std::vector<InstanceId> listed;
    for (const membership::ListedInstance &instance : list)
        listed.push_back(instance.id);
    m_roster = credit::ListedInstances(listed);
    refreshTargets();
}

void CreditService::refreshTargets()
{
    if (!m_roster)
        return;
    const Milliseconds now = monotonicNow();
    std::vector<TargetId> ids;
    ids.reserve(m_targets.size());
    for (const config::Target &target : m_targets)
        ids.push_back(target.id);
    credit::setTargets(m_escrow, m_targets, *m_roster, now);
    credit::setLeaseInstances(m_leases, ids, *m_roster, now);
    pollQuietTargets(now);
}

void CreditService::sweep()
{
    const Milliseconds now = monotonicNow();
    credit::tick(m_escrow, now);
    pollQuietTargets(now);
    keepLeases(now);
    notifyIfGained();
}

void CreditService::notifyIfGained()
{
    const Milliseconds now = monotonicNow();
    config::Capacity sum;
    for (const std::pair<const TargetId, credit::Account> &entry : m_escrow.accounts)
        sum = sum + credit::availableCapacity(m_escrow, entry.second, now);
    const bool hasGained = !credit::fitsInto(sum, m_lastRoom);
    m_lastRoom = sum;
    if (!hasGained)
        return;
    for (const std::function<void()> &listener : m_onChange)
        listener();
}

void CreditService::pollQuietTargets(Milliseconds now)
{
    for (const std::pair<const TargetId, credit::Account> &entry : m_escrow.accounts) {
        const std::vector<InstanceId> &holders = entry.second.holders;
        const bool isHolder =
            std::find(holders.begin(), holders.end(), m_escrow.self.instance) != holders.end();
        const credit::WarmupState &warmth = m_warmth[entry.first];
        if (isHolder && (!warmth.bootId || now - warmth.lastReport >= pollInterval))
            m_poller.poll(entry.first, m_addresses[entry.first]);
    }
}

void CreditService::setWarmth(const TargetId &target, Milliseconds now)
{
    const credit::Account *account = credit::findAccount(m_escrow, target);
    const bool isCold = !m_warmth[target].isWarm;
    if (!account || account->isCold == isCold)
        return;
    LOG(INFO) << "credit: target=" << target.value << (isCold ? " is cold" : " is warm");
    credit::setCold(m_escrow, target, isCold, now);
    m_changed.insert(target);
    if (!isCold)
        releaseLease(target, now);
}

bool CreditService::isUsablePeer(const InstanceId &id) const
{
    const membership::MembershipState &members = m_registry.find<PeerService>().membership();
    return id != m_escrow.self.instance && !membership::isSuspected(members, id, monotonicNow());
}

bool CreditService::mayBorrow(const TargetId &target, const Request &request) const
{
    const credit::Account *account = credit::findAccount(m_escrow, target);
    if (!account)
        return false;
    const auto refused = m_refusedUntil.find(target);
    if (refused != m_refusedUntil.end() && monotonicNow() < refused->second)
        return false;
    const config::Capacity whole = account->isCold ? account->coldCapacity : account->capacity;
    return credit::fitsInto(credit::requiredCapacity(*account, request), whole)
           && !lendersFor(target, request).empty();
}

void CreditService::borrow(const TargetId &target, const Request &request,
                           std::function<void(bool)> granted)
{
    if (m_waiting.count(request.id) > 0)
        return granted(false);
    m_waiting[request.id] = { target, std::move(granted) };
    m_changed.insert(target);
    follow(credit::beginBorrow(m_escrow, target, request, lendersFor(target, request),
                               monotonicNow()));
}

} // namespace egretmount::entry
