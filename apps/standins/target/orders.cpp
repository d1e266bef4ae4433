#include "orders.h"

#include <glog/logging.h>

#include "http/engine_orders.h"

namespace egretmount::standins {

using Poco::Net::HTTPResponse;

namespace {

constexpr const char *jsonType = "application/json";
constexpr std::size_t maxOrderBytes = 64UL * 1024;

} // namespace

OrderEndpoint::OrderEndpoint(OrderSettings settings, std::function<bool()> isBusy)
    : m_settings(std::move(settings))
    , m_isBusy(std::move(isBusy))
{ }

void OrderEndpoint::addRoutes(http::Server &server)
{
    server.route("GET", http::ordersPath, [this](http::Exchange &e) { sendReport(e); });
    server.route("POST", http::ordersPath, [this](http::Exchange &e) { acceptOrder(e); });
}

void OrderEndpoint::sendReport(http::Exchange &exchange)
{
    config::EngineReport report;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        report = m_report;
    }
    report.isBusy = m_isBusy();
    exchange.send(HTTPResponse::HTTP_OK, jsonType, http::writeEngineReport(report));
}

void OrderEndpoint::acceptOrder(http::Exchange &exchange)
{
    const Result<std::string> body = exchange.readBody(maxOrderBytes);
    if (!body)
        return exchange.sendError(body.error());
    const Result<config::EngineOrder> order = http::readOrder(*body);
    if (!order)
        return exchange.sendError(order.error());
    if (!m_settings.senderToken.empty()
        && exchange.header(http::senderHeader) != m_settings.senderToken)
        return exchange.send(HTTPResponse::HTTP_FORBIDDEN, jsonType, "{}");
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_settings.checksFence && order->fence < m_report.fence)
        return exchange.send(HTTPResponse::HTTP_CONFLICT, jsonType, "{}");
    m_report.fence = order->fence;
    m_report.servedModel = order->servedModel;
    LOG(INFO) << "target: applied an order fence=" << order->fence
              << " model=" << order->servedModel.model
              << " version=" << order->servedModel.modelVersion;
    exchange.send(HTTPResponse::HTTP_OK, jsonType, "{}");
}

} // namespace egretmount::standins
