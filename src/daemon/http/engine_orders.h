#pragma once

#include <string>

#include <egretmount/config/orders.h>
#include <egretmount/core/error.h>

namespace egretmount::http {

/// @brief Path of an engine's orders API: GET returns the engine's report, POST submits an order.
constexpr const char *ordersPath = "/v1/orders";

/// @brief Header with the token that authenticates the fleet as the sender of an order.
constexpr const char *senderHeader = "Egretmount-Sender";

/// @brief Serializes an order or a report as JSON.
std::string writeOrder(const config::EngineOrder &order);
std::string writeEngineReport(const config::EngineReport &report);

/// @brief Parses an order or a report.
/// @return `MalformedRequest` if the text is not a valid order or report.
Result<config::EngineOrder> readOrder(const std::string &json);
Result<config::EngineReport> readEngineReport(const std::string &json);

} // namespace egretmount::http
