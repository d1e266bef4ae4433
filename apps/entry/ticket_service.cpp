#include "ticket_service.h"

#include <algorithm>
#include <future>

#include <glog/logging.h>

#include "peer_service.h"
#include "ticket_rpc.h"

namespace egretmount::entry {

using namespace literals;
using runonce::BeginDecision;
using runonce::BeginKind;
using runonce::CallResponse;
using runonce::Ticket;
using runonce::WitnessAnswer;

namespace {

constexpr Milliseconds expiryInterval = 1'000_ms;
constexpr Milliseconds forwardSweepInterval = 100_ms;

// Runs `start` on the loop with a callback and waits until that is called. If the loop ends, the
// callback is destroyed unused and the wait throws std::future_error.
template<typename Value>
Value await(kernel::Loop &loop, std::function<void(std::function<void(Value)>)> start)
{
    std::shared_ptr<std::promise<Value>> promise = std::make_shared<std::promise<Value>>();
    std::future<Value> value = promise->get_future();
    loop.post([start = std::move(start), promise = std::move(promise)] {
        start([promise](Value result) { promise->set_value(std::move(result)); });
    });
    return value.get();
}

} // namespace

TicketService::TicketService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                             const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_fleetKey(settings.fleetKey)
    , m_zone(settings.zone)
    , m_usesWitness(settings.usesWitness)
{
    m_issuer.lifetime = settings.ticketLifetime;
}

void TicketService::start()
{
    m_issuer.self = m_registry.find<PeerService>().self().run;
    m_witness.self = m_issuer.self;
    m_loop.every(expiryInterval, [this] {
        runonce::expireTickets(m_issuer, monotonicNow());
        runonce::expireRecords(m_witness, monotonicNow());
    });
    m_loop.every(forwardSweepInterval, [this] { sweepForwards(); });
}

Result<std::string> TicketService::issue(const TeamId &team, const ServiceId &service)
{
    const Result<Ticket> ticket = m_loop.call([this, &team, &service] {
        return runonce::issueTicket(m_issuer, team, service, chooseWitness(), monotonicNow());
    });
    if (!ticket)
        return tl::make_unexpected(ticket.error());
    return runonce::encodeTicket(*ticket, m_fleetKey);
}

Result<Ticket> TicketService::read(const std::string &text) const
{
    return runonce::decodeTicket(text, m_fleetKey);
}

BeginDecision TicketService::begin(const Ticket &ticket, std::uint64_t fingerprint,
                                   Milliseconds deadline)
{
    return await<BeginDecision>(
        m_loop, [this, ticket, fingerprint, deadline](const Decided &decided) {
            const Milliseconds now = monotonicNow();
            BeginDecision decision = runonce::begin(m_issuer, ticket, fingerprint, now);
            if (decision.kind != BeginKind::Join)
                return decided(std::move(decision));
            const std::shared_ptr<bool> isTold = std::make_shared<bool>(false);
            const Decided once = [isTold, decided](BeginDecision result) {
                if (!*isTold)
                    decided(std::move(result));
                *isTold = true;
            };
            m_joined[ticket.sequence].push_back(once);
            m_loop.after(std::max(deadline - now, 0_ms), [once] {
                once({ BeginKind::Stored, fail(ErrorId::DeadlinePassed, Verdict::MayHaveRun,
                                               "the deadline passed; the call is still running") });
            });
        });
}

std::optional<Milliseconds> TicketService::obtainPermit(const Ticket &ticket, Milliseconds deadline)
{
    using Permit = std::optional<Milliseconds>;
    return await<Permit>(m_loop, [this, ticket,
                                  deadline](const std::function<void(Permit)> &decided) {
        runonce::onPermitRequested(m_issuer, ticket.sequence, monotonicNow());
        const auto take = [this, ticket, decided](WitnessAnswer answer) {
            decided(runonce::onWitnessAnswer(m_issuer, ticket.sequence, answer, monotonicNow()));
        };
        if (!ticket.hasWitness())
            return take(WitnessAnswer::Granted);
        askWitness(ticket, false, deadline, take);
    });
}

void TicketService::finish(std::uint64_t sequence, const Result<CallResponse> &result)
{
    m_loop.post([this, sequence, result] {
        runonce::finish(m_issuer, sequence, result, monotonicNow());
        tellJoined(sequence);
    });
}

WitnessAnswer TicketService::voidAtWitness(const Ticket &ticket, Milliseconds deadline)
{
    if (!ticket.hasWitness())
        return WitnessAnswer::Unknown;
    return await<WitnessAnswer>(m_loop, [this, ticket, deadline](const Answered &answered) {
        askWitness(ticket, true, deadline, answered);
    });
}

IssuerRoute TicketService::routeTo(const Ticket &ticket)
{
    return m_loop.call([this, &ticket] {
        IssuerRoute route;
        route.isSelf = ticket.issuer == m_issuer.self;
        if (!route.isSelf && isReachable(ticket.issuer)) {
            const PeerService &peers = m_registry.find<PeerService>();
            route.address =
                membership::findPeer(peers.membership(), ticket.issuer.instance)->httpAddress;
        }
        return route;
    });
}

void TicketService::watchForward(const std::shared_ptr<http::ClientCall> &call,
                                 const InstanceRun &issuer)
{
    m_loop.post([this, call, issuer] { m_forwards.push_back({ call, issuer }); });
}

WitnessAnswer TicketService::answerPermit(const Ticket &ticket)
{
    return runonce::requestPermit(m_witness, ticket, monotonicNow());
}

WitnessAnswer TicketService::answerVoid(const Ticket &ticket)
{
    return runonce::voidTicket(m_witness, ticket, monotonicNow());
}

// Prefers another availability zone, so that one outage does not take issuer and witness.
InstanceRun TicketService::chooseWitness() const
{
    if (!m_usesWitness)
        return {};
    PeerService &peers = m_registry.find<PeerService>();
    std::vector<InstanceRun> elsewhere;
    std::vector<InstanceRun> nearby;
    for (const membership::ListedInstance &row :
         membership::callableInstances(peers.membership(), true, monotonicNow())) {
        const membership::PeerView *view = membership::findPeer(peers.membership(), row.id);
        if (row.id == m_issuer.self.instance || !view || peers.peer(row.id) == nullptr)
            continue;
        (row.zone == m_zone ? nearby : elsewhere).push_back(view->run);
    }
    const std::vector<InstanceRun> &candidates = elsewhere.empty() ? nearby : elsewhere;
    if (candidates.empty())
        return {};
    return candidates[m_issuer.lastSequence % candidates.size()];
}

bool TicketService::isReachable(const InstanceRun &run) const
{
    const membership::MembershipState &membership = m_registry.find<PeerService>().membership();
    const membership::PeerView *view = membership::findPeer(membership, run.instance);
    return view && view->run == run
           && !membership::isSuspected(membership, run.instance, monotonicNow());
}

void TicketService::tellJoined(std::uint64_t sequence)
{
    const auto record = m_issuer.records.find(sequence);
    const auto joined = m_joined.find(sequence);
    if (joined == m_joined.end() || record == m_issuer.records.end() || !record->second.result)
        return;
    for (const Decided &decided : joined->second)
        decided({ BeginKind::Stored, *record->second.result });
    m_joined.erase(joined);
}

void TicketService::askWitness(const Ticket &ticket, bool isVoid, Milliseconds deadline,
                               const Answered &answered)
{
    if (ticket.witness == m_witness.self)
        return answered(isVoid ? answerVoid(ticket) : answerPermit(ticket));
    KJ_IF_MAYBE (client, m_registry.find<PeerService>().peer(ticket.witness.instance)) {
        kj::Promise<WitnessAnswer> reply = nullptr;
        if (isVoid) {
            auto request = client->voidTicketRequest();
            writeTicket(ticket, request.initTicket());
            reply =
                request.send().then([](auto &&response) { return fromWire(response.getAnswer()); });
        } else {
            auto request = client->requestPermitRequest();
            writeTicket(ticket, request.initTicket());
            reply =
                request.send().then([](auto &&response) { return fromWire(response.getAnswer()); });
        }
        const Milliseconds left = std::max(deadline - monotonicNow(), 0_ms);
        const kj::Duration timeout = std::min(permitTimeout, left).count() * kj::MILLISECONDS;
        m_loop.addTask(
            m_loop.timer()
                .timeoutAfter(timeout, kj::mv(reply))
                .then([answered](WitnessAnswer answer) { answered(answer); },
                      [answered](kj::Exception &&) { answered(WitnessAnswer::Unknown); }));
        return;
    }
    answered(WitnessAnswer::Unknown);
}

void TicketService::sweepForwards()
{
    const auto isDone = [this](const Forward &forward) {
        const std::shared_ptr<http::ClientCall> call = forward.call.lock();
        if (!call)
            return true;
        if (isReachable(forward.issuer))
            return false;
        LOG(INFO) << "tickets: the issuer is not reachable instance="
                  << forward.issuer.instance.value;
        call->abort();
        return true;
    };
    m_forwards.erase(std::remove_if(m_forwards.begin(), m_forwards.end(), isDone),
                     m_forwards.end());
}

} // namespace egretmount::entry
