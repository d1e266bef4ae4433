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
    , m_reservations(std::move(reservations))
    , m_releaseAttempts(m_reservations.size())
{
    for (const MemoryReservation &reservation : m_reservations) {
        m_callers.push_back(std::make_unique<net::HttpClient>(reactor, reservation.target.address));
        m_callers.back()->setMaxBody(maxReportBytes);
    }
}

void MemoryReservations::reserve(Done done)
{
    m_done = std::move(done);
    for (std::size_t i = 0; i < m_reservations.size(); ++i)
        sendOrder(i, false);
}

void MemoryReservations::sendOrder(std::size_t index, bool isRelease)
{
    const MemoryReservation &reservation = m_reservations[index];
    const std::string body =
        isRelease ? platform::releaseBody(reservation.name)
                  : platform::reserveBody(reservation.name, reservation.tokens, reservationTtl);
    const std::weak_ptr<MemoryReservations> weak = weak_from_this();
    m_callers[index]->post(
        std::string(platform::orderPath()), body, orderTimeout,
        [weak, index, isRelease](int status, const std::string &response) {
            const std::shared_ptr<MemoryReservations> self = weak.lock();
            if (!self)
                return;
            self->m_targets.recordNotices(
                self->m_reservations[index].target,
                platform::readResponseFields(self->m_callers[index]->responseHead()),
                platform::startStampOf(response));
            const bool isDone = platform::outcomeOf(status) == platform::OrderOutcome::Done;
            LOG(INFO) << "tickets: " << (isRelease ? "release" : "reserve")
                      << " ticket=" << self->m_reservations[index].name
                      << " tokens=" << self->m_reservations[index].tokens << " status=" << status;
            // Handling the response may destroy the `HttpClient` that runs this
            // callback, so it is deferred.
            self->m_reactor.defer([self, index, isRelease, isDone] {
                if (isRelease)
                    self->onReleased(index, isDone);
                else
                    self->onReserved(index, isDone);
            });
        });
}

void MemoryReservations::onReserved(std::size_t index, bool isDone)
{
    if (m_isReleased) {
        sendOrder(index, true);
        return;
    }
    m_hasFailed = m_hasFailed || !isDone;
    if (!m_done || ++m_responses < m_reservations.size())
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
        for (std::size_t i = 0; i < self->m_reservations.size(); ++i) {
            if (!self->m_callers[i]->isBusy())
                self->sendOrder(i, false);
        }
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
    for (std::size_t i = 0; i < m_reservations.size(); ++i) {
        // A pending reservation is released when its response arrives.
        if (!m_callers[i]->isBusy())
            sendOrder(i, true);
    }
}

void MemoryReservations::onReleased(std::size_t index, bool isDone)
{
    if (!isDone && ++m_releaseAttempts[index] < maxReleaseAttempts) {
        const std::shared_ptr<MemoryReservations> self = shared_from_this();
        m_reactor.after(releaseRetryDelay, [self, index] { self->sendOrder(index, true); });
        return;
    }
    if (!isDone) {
        LOG(WARNING)
            << "tickets: engine did not confirm the release, the reservation will expire ticket="
            << m_reservations[index].name;
    }
    if (++m_finishedReleases == m_reservations.size())
        m_reactor.defer([self = std::move(m_self)] {});
}

} // namespace egretmount::node
