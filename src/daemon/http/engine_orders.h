#pragma once

#include <string>

#include <egretmount/config/orders.h>
#include <egretmount/core/error.h>

namespace egretmount::http {

/// @brief Path of an engine's orders: GET reads its report, POST gives an order.
constexpr const char *ordersPath = "/v1/orders";

/// @brief Header with the fleet's sender token.
constexpr const char *senderHeader = "Egretmount-Sender";

/// @brief Orders and reports as JSON.
std::string writeOrder(const config::EngineOrder &order);
std::string writeEngineReport(const config::EngineReport &report);

/// @return The order or report, or an error for a text that is none.
Result<config::EngineOrder> readOrder(const std::string &json);
Result<config::EngineReport> readEngineReport(const std::string &json);

} // namespace egretmount::http
