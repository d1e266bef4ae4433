#include "memory_tickets.h"

#include <glog/logging.h>

#include "platform/orders.h"

namespace egretmount::node {

namespace {

// How long an engine keeps memory without another word: below the four seconds that the platform
// allows beyond a request's end, in case this instance dies with it.
constexpr Milliseconds holdTime = Milliseconds(3'700);
constexpr Milliseconds renewAfter = Milliseconds(2'400);
// An order is answered within some milliseconds; the request waits for it.
constexpr Milliseconds answerTime = Milliseconds(300);
constexpr Milliseconds releaseRetry = Milliseconds(300);
constexpr int releaseAttempts = 3;

} // namespace

MemoryTickets::MemoryTickets(net::Reactor &reactor, std::vector<MemoryTicket> tickets)
    : m_reactor(reactor)
    , m_tickets(std::move(tickets))
    , m_releaseAttempts(m_tickets.size())
{
    for (const MemoryTicket &ticket : m_tickets)
        m_callers.push_back(std::make_unique<net::HttpClient>(reactor, ticket.address));
}

void MemoryTickets::reserve(Done done)
{
    m_done = std::move(done);
    for (std::size_t i = 0; i < m_tickets.size(); ++i)
        order(i, false);
}

void MemoryTickets::order(std::size_t index, bool isRelease)
{
    const MemoryTicket &ticket = m_tickets[index];
    const std::string body = isRelease
                                 ? platform::releaseBody(ticket.name)
                                 : platform::reserveBody(ticket.name, ticket.tokens, holdTime);
    const std::weak_ptr<MemoryTickets> weak = weak_from_this();
    m_callers[index]->post(std::string(platform::orderPath()), body, answerTime,
                           [weak, index, isRelease](int status, const std::string &) {
                               const std::shared_ptr<MemoryTickets> self = weak.lock();
                               if (!self)
                                   return;
                               const bool isDone =
                                   platform::outcomeOf(status) == platform::OrderOutcome::Done;
                               LOG(INFO) << "tickets: " << (isRelease ? "release" : "reserve")
                                         << " ticket=" << self->m_tickets[index].name
                                         << " tokens=" << self->m_tickets[index].tokens
                                         << " status=" << status;
                               // Answers are handled in a turn of their own: they may destroy the
                               // caller.
                               self->m_reactor.defer([self, index, isRelease, isDone] {
                                   if (isRelease)
                                       self->onReleased(index, isDone);
                                   else
                                       self->onReserved(index, isDone);
                               });
                           });
}

void MemoryTickets::onReserved(std::size_t index, bool isDone)
{
    if (m_isReleased) {
        order(index, true);
        return;
    }
    m_hasFailed = m_hasFailed || !isDone;
    if (!m_done || ++m_answers < m_tickets.size())
        return;
    const Done done = std::move(m_done);
    m_done = nullptr;
    if (!m_hasFailed)
        scheduleRenewal();
    done(!m_hasFailed);
}

void MemoryTickets::scheduleRenewal()
{
    const std::weak_ptr<MemoryTickets> weak = weak_from_this();
    m_renewal = m_reactor.after(renewAfter, [weak] {
        const std::shared_ptr<MemoryTickets> self = weak.lock();
        if (!self || self->m_isReleased)
            return;
        for (std::size_t i = 0; i < self->m_tickets.size(); ++i) {
            if (!self->m_callers[i]->isBusy())
                self->order(i, false);
        }
        self->scheduleRenewal();
    });
}

void MemoryTickets::release()
{
    if (m_isReleased)
        return;
    m_isReleased = true;
    m_done = nullptr;
    m_reactor.cancel(m_renewal);
    m_self = shared_from_this();
    for (std::size_t i = 0; i < m_tickets.size(); ++i) {
        // A reservation under way is released when its answer comes.
        if (!m_callers[i]->isBusy())
            order(i, true);
    }
}

void MemoryTickets::onReleased(std::size_t index, bool isDone)
{
    if (!isDone && ++m_releaseAttempts[index] < releaseAttempts) {
        const std::shared_ptr<MemoryTickets> self = shared_from_this();
        m_reactor.after(releaseRetry, [self, index] { self->order(index, true); });
        return;
    }
    if (!isDone) {
        LOG(WARNING) << "tickets: not released, lapses by itself ticket=" << m_tickets[index].name;
    }
    if (++m_releases == m_tickets.size())
        m_reactor.defer([self = std::move(m_self)] {});
}

} // namespace egretmount::node
