#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/target_table.h>

#include "net/http_client.h"
#include "net/reactor.h"

namespace egretmount::node {

class TargetPool;

/// @brief Memory to reserve at one engine.
struct MemoryReservation
{
    fleet::TargetEntry target; ///< The engine.
    std::string name; ///< Unique across all instances, never reused.
    TokenCount tokens = 0;
};

/// @brief Reserves memory at the helper engines of one request, and renews and releases it.
///
/// Reservations expire after a short time and are renewed while the request runs. If this instance
/// dies, the engines free the memory within the platform's time limit for unused memory.
class MemoryReservations : public std::enable_shared_from_this<MemoryReservations>
{
public:
    using Done = std::function<void(bool isReserved)>;

    MemoryReservations(net::Reactor &reactor, TargetPool &targets,
                       std::vector<MemoryReservation> reservations);

    /// @brief Reserves memory at all engines in parallel.
    /// @param done Called once, after this function has returned; not called after `release`.
    void reserve(Done done);

    /// @brief Releases all reservations. The object keeps itself alive until the engines have
    ///        responded.
    void release();

private:
    /// @brief What is known of the latest order about a reservation.
    enum class OrderState {
        None, ///< No order is in progress, and the next one may be sent.
        Pending, ///< The engine has not responded.
        Answered, ///< The response has been received and is handled by a deferred task.
        Done, ///< The reservation is released, or its release was given up.
    };

    /// @brief A reservation and the orders about it, of which at most one is in progress.
    struct Orders
    {
        MemoryReservation reservation;
        std::unique_ptr<net::HttpClient> client;
        OrderState state = OrderState::None;
        int releaseAttempts = 0;
    };

    /// @brief Sends an order about one reservation. Does nothing unless its state is `None`.
    void sendOrder(std::size_t index, bool isRelease);
    void onResponse(std::size_t index, bool isRelease, int status, const std::string &body);
    void onReserved(std::size_t index, bool isDone);
    void onReleased(std::size_t index, bool isDone);
    void scheduleRenewal();

    net::Reactor &m_reactor;
    TargetPool &m_targets;
    std::vector<Orders> m_orders;
    std::shared_ptr<MemoryReservations> m_self; ///< Keeps the object alive during releases.
    Done m_done;
    std::size_t m_responses = 0;
    std::size_t m_finishedReleases = 0;
    bool m_hasFailed = false;
    bool m_isReleased = false;
    net::TimerId m_renewal = 0;
};

} // namespace egretmount::node
