// The calls of the credit service to and from other instances.

#include <algorithm>

#include <glog/logging.h>
#include <kj/debug.h>

#include "credit_service.h"
#include "peer_service.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr auto answerTimeout = 150 * kj::MILLISECONDS;
// After a refusal, so that blocked requests do not ask all the time.
constexpr Milliseconds refusalPause = 40_ms;
// The dispatcher takes shares anew within this time, so it stops before the lease ends.
constexpr Milliseconds leaseSlack = 100_ms;

} // namespace

std::vector<InstanceId> CreditService::lendersFor(const TargetId &target,
                                                  const Request &request) const
{
    std::vector<InstanceId> lenders;
    const credit::Account *account = credit::findAccount(m_escrow, target);
    if (!account)
        return lenders;
    const InstanceId leaseHolder = credit::leaseHolder(m_leases, target, monotonicNow());
    if (account->isCold && !leaseHolder.isEmpty()) {
        if (isUsablePeer(leaseHolder))
            lenders.push_back(leaseHolder);
        return lenders;
    }
    for (const InstanceId &holder : account->holders) {
        if (isUsablePeer(holder))
            lenders.push_back(holder);
    }
    // Requests start at different lenders, so that none is asked more than the others.
    if (!lenders.empty()) {
        const std::size_t first = std::hash<RequestId>()(request.id) % lenders.size();
        std::rotate(lenders.begin(), lenders.begin() + static_cast<std::ptrdiff_t>(first),
                    lenders.end());
    }
    return lenders;
}

void CreditService::follow(const credit::BorrowStep &step)
{
    if (step.state == credit::BorrowState::SendRequest)
        return ask(step.lender, step.creditRequest);
    const auto reservation = m_escrow.reservations.find(step.request);
    const TargetId target =
        reservation == m_escrow.reservations.end() ? TargetId() : reservation->second.target;
    sendReturns(target, step.returns);
    if (step.state == credit::BorrowState::Ignored)
        return;
    const auto waiting = m_waiting.find(step.request);
    if (waiting == m_waiting.end())
        return;
    const Waiting ended = std::move(waiting->second);
    m_waiting.erase(waiting);
    const bool isComplete = step.state == credit::BorrowState::Complete;
    m_changed.insert(ended.target);
    if (!isComplete)
        m_refusedUntil[ended.target] = monotonicNow() + refusalPause;
    ended.granted(isComplete);
}

void CreditService::ask(const InstanceId &lender, const credit::CreditRequest &request)
{
    const std::uint64_t number = request.number;
    KJ_IF_MAYBE (client, m_registry.find<PeerService>().peer(lender)) {
        auto call = client->requestCreditRequest();
        wire::CreditRequest::Builder wire = call.initRequest();
        rpc::writeRun(request.borrower, wire.initBorrower());
        wire.setNumber(number);
        wire.setTarget(request.target.value);
        wire.setTokens(request.wanted.tokens);
        wire.setSlots(request.wanted.slots);
        wire.setHoldMs(request.hold.count());
        wire.setWantsCold(request.wantsCold);
        // An answer that comes too late is taken in all the same, to give the grant back.
        m_loop.addTask(call.send().then(
            [this, lender](auto &&answer) {
                const wire::CreditGrant::Reader grant = answer.getGrant();
                follow(credit::onGrant(m_escrow, lender,
                                       { grant.getNumber(),
                                         grant.getIsGranted(),
                                         { grant.getTokens(), grant.getSlots() } },
                                       monotonicNow()));
            },
            [this, number](kj::Exception &&) {
                follow(credit::onCreditRequestFailed(m_escrow, number, monotonicNow()));
            }));
        m_loop.addTask(m_loop.timer().afterDelay(answerTimeout).then([this, number] {
            follow(credit::onCreditRequestFailed(m_escrow, number, monotonicNow()));
        }));
        return;
    }
    follow(credit::onCreditRequestFailed(m_escrow, number, monotonicNow()));
}

void CreditService::sendReturns(const TargetId &target, const std::vector<credit::LoanRef> &loans)
{
    for (const credit::LoanRef &loan : loans) {
        KJ_IF_MAYBE (client, m_registry.find<PeerService>().peer(loan.lender)) {
            auto call = client->returnCreditRequest();
            wire::CreditReturn::Builder done = call.initDone();
            rpc::writeRun(m_escrow.self, done.initBorrower());
            done.setNumber(loan.number);
            done.setTarget(target.value);
            // A lost return costs credit up to the request's deadline.
            m_loop.addTask(call.send().ignoreResult().catch_([](kj::Exception &&) {}));
        }
    }
}

void CreditService::answerCredit(const InstanceRun &caller, wire::CreditRequest::Reader request,
                                 wire::CreditGrant::Builder grant)
{
    KJ_REQUIRE(rpc::readRun(request.getBorrower()) == caller, "a request in another's name");
    KJ_REQUIRE(request.getTokens() >= 0 && request.getSlots() >= 0 && request.getHoldMs() >= 0,
               "an amount below zero");
    const credit::CreditGrant lent = credit::lend(m_escrow,
                                                  { caller,
                                                    request.getNumber(),
                                                    TargetId(request.getTarget().cStr()),
                                                    { request.getTokens(), request.getSlots() },
                                                    Milliseconds(request.getHoldMs()),
                                                    request.getWantsCold() },
                                                  monotonicNow());
    m_changed.insert(TargetId(request.getTarget().cStr()));
    grant.setNumber(lent.number);
    grant.setIsGranted(lent.isGranted);
    grant.setTokens(lent.amount.tokens);
    grant.setSlots(lent.amount.slots);
}

void CreditService::answerReturn(const InstanceRun &caller, wire::CreditReturn::Reader done)
{
    KJ_REQUIRE(rpc::readRun(done.getBorrower()) == caller, "a return in another's name");
    credit::acceptReturn(m_escrow, { caller, done.getNumber() }, TargetId(done.getTarget().cStr()),
                         monotonicNow());
}

void CreditService::answerLease(const InstanceRun &caller, wire::LeaseRequest::Reader request,
                                wire::LeaseReply::Builder reply)
{
    KJ_REQUIRE(rpc::readRun(request.getHolder()) == caller, "a request in another's name");
    const credit::LeaseReply answer =
        credit::answerLease(m_leases,
                            { caller, request.getNumber(), TargetId(request.getTarget().cStr()),
                              Milliseconds(request.getLengthMs()), request.getIsRelease() },
                            monotonicNow());
    reply.setNumber(answer.number);
    rpc::writeRun(m_escrow.self, reply.initGranter());
    reply.setIsGranted(answer.isGranted);
    reply.setHeldBy(answer.heldBy.value);
}

void CreditService::keepLeases(Milliseconds now)
{
    m_leases.isLeaving = m_registry.find<PeerService>().isDraining();
    for (const std::pair<const TargetId, credit::Account> &entry : m_escrow.accounts) {
        if (entry.second.isCold)
            keepLease(entry.first, entry.second, now);
    }
}

void CreditService::keepLease(const TargetId &target, const credit::Account &account,
                              Milliseconds now)
{
    const credit::TargetLease *lease = credit::findLease(m_leases, target);
    if (!lease)
        return;
    if (m_leases.isLeaving) {
        if (lease->round != 0)
            releaseLease(target, now);
        return;
    }
    const bool isHeld = now < lease->heldUntil;
    if (now < lease->sentAt + m_leases.settings.renewInterval || account.holders.empty())
        return;
    if (!isHeld && !isFirstCandidate(target))
        return;
    credit::LeaseRequest request;
    if (!credit::beginRound(m_leases, target, request, now))
        return;
    const std::vector<InstanceId> pendingGranters =
        credit::findLease(m_leases, target)->pendingGranters;
    for (const InstanceId &granter : pendingGranters)
        sendLeaseRequest(granter, request);
    credit::setLease(m_escrow, target, credit::findLease(m_leases, target)->heldUntil - leaseSlack,
                     now);
}

bool CreditService::isFirstCandidate(const TargetId &target) const
{
    const membership::MembershipState &members = m_registry.find<PeerService>().membership();
    for (const InstanceId &id : credit::findLease(m_leases, target)->candidates) {
        if (id == m_escrow.self.instance)
            return true;
        if (isUsablePeer(id) && !membership::isLeaving(members, id, monotonicNow()))
            return false;
    }
    return false;
}

void CreditService::releaseLease(const TargetId &target, Milliseconds now)
{
    const credit::TargetLease *lease = credit::findLease(m_leases, target);
    if (!lease || (lease->round == 0 && now >= lease->heldUntil))
        return;
    m_changed.insert(target);
    const std::vector<InstanceId> candidates = lease->candidates;
    credit::setLease(m_escrow, target, now, now);
    const credit::LeaseRequest request = credit::releaseLease(m_leases, target, now);
    for (const InstanceId &granter : candidates) {
        if (granter != m_escrow.self.instance)
            sendLeaseRequest(granter, request);
    }
}

void CreditService::sendLeaseRequest(const InstanceId &granter, const credit::LeaseRequest &request)
{
    KJ_IF_MAYBE (client, m_registry.find<PeerService>().peer(granter)) {
        auto call = client->requestLeaseRequest();
        wire::LeaseRequest::Builder wire = call.initRequest();
        rpc::writeRun(request.holder, wire.initHolder());
        wire.setNumber(request.number);
        wire.setTarget(request.target.value);
        wire.setLengthMs(request.length.count());
        wire.setIsRelease(request.isRelease);
        const TargetId target = request.target;
        m_loop.addTask(call.send().then(
            [this, granter, target](auto &&answer) {
                const wire::LeaseReply::Reader reply = answer.getReply();
                const Milliseconds now = monotonicNow();
                credit::onLeaseReply(m_leases,
                                     { reply.getNumber(), granter, target, reply.getIsGranted(),
                                       InstanceId(reply.getHeldBy().cStr()) },
                                     now);
                if (credit::holdsLease(m_leases, target, now))
                    credit::setLease(m_escrow, target,
                                     credit::findLease(m_leases, target)->heldUntil - leaseSlack,
                                     now);
            },
            [](kj::Exception &&) { /* the next round asks again */ }));
    }
}

} // namespace egretmount::entry
