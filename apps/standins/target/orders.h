#pragma once

#include <functional>
#include <mutex>
#include <string>

#include <egretmount/config/orders.h>

#include "http/server.h"

namespace egretmount::standins {

/// @brief How an engine stand-in treats orders.
struct OrderSettings
{
    bool checksFence = false;
    std::string senderToken; ///< Empty: does not check the sender.
};

/// @brief The orders that an engine stand-in obeyed. Any thread.
class OrderEndpoint
{
public:
    /// @param isBusy Says whether requests run on the engine.
    OrderEndpoint(OrderSettings settings, std::function<bool()> isBusy);

    /// @brief Adds the routes that read the report and take orders.
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
