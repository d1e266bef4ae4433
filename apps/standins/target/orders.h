#pragma once

#include <functional>
#include <mutex>
#include <string>

#include <egretmount/config/orders.h>

#include "http/server.h"

namespace egretmount::standins {

/// @brief Checks that a simulated engine makes before it accepts an order.
struct OrderSettings
{
    bool checksFence = false; ///< Rejects orders with a lower fencing token than the last one.
    std::string senderToken; ///< Rejects orders without this token; empty accepts all senders.
};

/// @brief HTTP endpoint that accepts orders and reports the last accepted one. Thread-safe.
class OrderEndpoint
{
public:
    /// @param isBusy Returns whether requests are running on the engine.
    OrderEndpoint(OrderSettings settings, std::function<bool()> isBusy);

    /// @brief Adds the route that returns the engine report and the route that accepts orders.
    void addRoutes(http::Server &server);

private:
    void sendReport(http::Exchange &exchange);
    void acceptOrder(http::Exchange &exchange);

    OrderSettings m_settings;
    std::function<bool()> m_isBusy;
    std::mutex m_mutex;
    config::EngineReport m_report; // guarded by m_mutex
};

} // namespace egretmount::standins
