#include "metrics_service.h"

#include "config_service.h"
#include "http/headers.h"

namespace egretmount::entry {

using Poco::Net::HTTPResponse;

namespace {

constexpr const char *textType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace

void MetricsService::start()
{
    m_registry.find<ConfigService>().onDocument([this](const config::FleetDocument &document) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        metrics::recordConfigVersion(m_state, document.version, monotonicNow());
    });
}

void MetricsService::addRoutes(http::Server &server)
{
    server.route("GET", "/metrics", [this](http::Exchange &exchange) { send(exchange); });
}

void MetricsService::observe(const Request &request, metrics::Measure measure, double value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    metrics::observe(m_state, request.team, lengthClassOf(request.promptTokens), measure, value,
                     monotonicNow());
}

void MetricsService::observeFirstToken(const Request &request, double seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    metrics::observeFirstToken(m_state, request.team, lengthClassOf(request.promptTokens), seconds,
                               monotonicNow());
}

void MetricsService::observeGaps(const Request &request, const std::vector<double> &gaps)
{
    const Milliseconds now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (double gap : gaps)
        metrics::observe(m_state, request.team, lengthClassOf(request.promptTokens),
                         metrics::Measure::BetweenTokens, gap, now);
}

void MetricsService::countOutcome(Verdict verdict, const ErrorId *error)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    metrics::countOutcome(m_state, verdict, error);
}

void MetricsService::countRetry()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_state.retries;
}

void MetricsService::recordWarmth(const TargetId &target, bool isWarm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    metrics::recordWarmth(m_state, target, isWarm);
}

void MetricsService::send(http::Exchange &exchange)
{
    // The text is long; it is written from a copy, so that requests do not wait for it.
    metrics::MetricsState copy;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        copy = m_state;
    }
    exchange.send(HTTPResponse::HTTP_OK, textType, metrics::writePrometheus(copy, monotonicNow()));
}

AnswerCount::~AnswerCount()
{
    const HTTPResponse &response = m_exchange.response();
    const bool isWhole = response.getStatus() == HTTPResponse::HTTP_OK;
    const std::optional<Verdict> verdict =
        valueNamed<Verdict>(response.get(http::verdictHeader, ""));
    if (!verdict || (m_isStream && isWhole))
        return;
    const std::optional<ErrorId> error = valueNamed<ErrorId>(response.get(http::errorHeader, ""));
    m_registry.find<MetricsService>().countOutcome(*verdict, error ? &*error : nullptr);
}

} // namespace egretmount::entry
