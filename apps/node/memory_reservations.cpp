#include "memory_reservations.h"

#include <glog/logging.h>

#include "platform/messages.h"
#include "platform/orders.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Engines free memory that was not renewed for this long. It is below the four seconds that the
// platform allows after the end of a request, because this instance may die while it runs.
constexpr Milliseconds reservationTtl = Milliseconds(3'700);
constexpr Milliseconds renewalInterval = Milliseconds(2'400);
// Engines respond to an order within some milliseconds, and the request waits for the response.
constexpr Milliseconds orderTimeout = Milliseconds(300);
constexpr Milliseconds releaseRetryDelay = Milliseconds(300);
constexpr int maxReleaseAttempts = 3;

} // namespace

MemoryReservations::MemoryReservations(net::Reactor &reactor, TargetPool &targets,
                                       std::vector<MemoryReservation> reservations)
    : m_reactor(reactor)
    , m_targets(targets)
{
    for (MemoryReservation &reservation : reservations) {
        Orders orders;
        orders.client = std::make_unique<net::HttpClient>(reactor, reservation.target.address);
        orders.client->setMaxBody(maxReportBytes);
        orders.reservation = std::move(reservation);
        m_orders.push_back(std::move(orders));
    }
}

void MemoryReservations::reserve(Done done)
{
    m_done = std::move(done);
    for (std::size_t i = 0; i < m_orders.size(); ++i)
        sendOrder(i, false);
}

void MemoryReservations::sendOrder(std::size_t index, bool isRelease)
{
    Orders &orders = m_orders[index];
    if (orders.state != OrderState::None)
        return;
    orders.state = OrderState::Pending;
    const MemoryReservation &reservation = orders.reservation;
    const std::string body =
        isRelease ? platform::releaseBody(reservation.name)
                  : platform::reserveBody(reservation.name, reservation.tokens, reservationTtl);
    const std::weak_ptr<MemoryReservations> weak = weak_from_this();
    orders.client->post(std::string(platform::orderPath()), body, orderTimeout,
                        [weak, index, isRelease](int status, const std::string &response) {
                            if (const std::shared_ptr<MemoryReservations> self = weak.lock())
                                self->onResponse(index, isRelease, status, response);
                        });
}

void MemoryReservations::onResponse(std::size_t index, bool isRelease, int status,
                                    const std::string &body)
{
    Orders &orders = m_orders[index];
    m_targets.recordNotices(orders.reservation.target,
                            platform::readResponseFields(orders.client->responseHead()),
                            platform::startStampOf(body));
    const bool isDone = platform::outcomeOf(status) == platform::OrderOutcome::Done;
    LOG(INFO) << "tickets: " << (isRelease ? "release" : "reserve")
              << " ticket=" << orders.reservation.name << " tokens=" << orders.reservation.tokens
              << " status=" << status;
    orders.state = OrderState::Answered;
    // Handling the response may destroy this object and its client, which is still in use here.
    m_reactor.defer([self = shared_from_this(), index, isRelease, isDone] {
        self->m_orders[index].state = OrderState::None;
        if (isRelease)
            self->onReleased(index, isDone);
        else
            self->onReserved(index, isDone);
    });
}

void MemoryReservations::onReserved(std::size_t index, bool isDone)
{
    if (m_isReleased) {
        sendOrder(index, true);
        return;
    }
    m_hasFailed = m_hasFailed || !isDone;
    if (!m_done || ++m_responses < m_orders.size())
        return;
    const Done done = std::move(m_done);
    m_done = nullptr;
    if (!m_hasFailed)
        scheduleRenewal();
    done(!m_hasFailed);
}

void MemoryReservations::scheduleRenewal()
{
    const std::weak_ptr<MemoryReservations> weak = weak_from_this();
    m_renewal = m_reactor.after(renewalInterval, [weak] {
        const std::shared_ptr<MemoryReservations> self = weak.lock();
        if (!self || self->m_isReleased)
            return;
        for (std::size_t i = 0; i < self->m_orders.size(); ++i)
            self->sendOrder(i, false);
        self->scheduleRenewal();
    });
}

void MemoryReservations::release()
{
    if (m_isReleased)
        return;
    m_isReleased = true;
    m_done = nullptr;
    m_reactor.cancel(m_renewal);
    m_self = shared_from_this();
    // A reservation whose order is in progress is released once the response has been handled.
    for (std::size_t i = 0; i < m_orders.size(); ++i)
        sendOrder(i, true);
}

void MemoryReservations::onReleased(std::size_t index, bool isDone)
{
    Orders &orders = m_orders[index];
    if (!isDone && ++orders.releaseAttempts < maxReleaseAttempts) {
        const std::shared_ptr<MemoryReservations> self = shared_from_this();
        m_reactor.after(releaseRetryDelay, [self, index] { self->sendOrder(index, true); });
        return;
    }
    if (!isDone) {
        LOG(WARNING)
            << "tickets: engine did not confirm the release, the reservation will expire ticket="
            << orders.reservation.name;
    }
    orders.state = OrderState::Done;
    if (++m_finishedReleases == m_orders.size())
        m_reactor.defer([self = std::move(m_self)] {});
}

} // namespace egretmount::node
