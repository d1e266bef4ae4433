#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/limits/next_step.h>
#include <egretmount/metrics/measure_histograms.h>

#include "kernel/service.h"
#include "net/server_connection.h"

namespace egretmount::node {

class FleetService;

/// @brief Outcome and latencies of one request.
struct RequestSummary
{
    TeamId team; ///< Empty: no team, or the request was refused before its team was known.
    fleet::RetrySemantics kind = fleet::RetrySemantics::AtMostOnce;
    int status = 0; ///< Zero: the connection ended without a response.
    std::string outcome;
    double firstEventSeconds = 0; ///< Time to the first event; zero: there was none.
    double longestEventGapSeconds = 0;
    double totalSeconds = 0;
};

/// @brief What a target has asked of this instance.
enum class TargetNoticeKind {
    Leaving, ///< It shuts down; it was not known to do so.
    TurnedAway, ///< It wants no requests for a time.
    Limited, ///< It takes a number of requests per second from all instances.
};

/// @brief Length of a prompt, as the planner distinguishes it.
enum class PromptKind {
    Short,
    Long,
};

/// @brief A page of the metrics endpoint.
struct MetricsPage
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/// @brief Returns a page for the query of a request, without the question mark.
using MetricsPageHandler = std::function<MetricsPage(const std::string &query)>;

/// @brief Counters and latency histograms in the Prometheus text format.
///
/// Teams beyond a limit share one row, so memory use does not grow with the configuration.
class MetricsService
    : public kernel::Service
    , public net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "metrics";

    /// @param port Port of the metrics endpoint; zero disables it.
    MetricsService(net::Reactor &reactor, kernel::ServiceRegistry &registry, int port);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Adds a gauge whose value is read whenever the metrics are scraped.
    void addGauge(const std::string &name, std::function<double()> read);

    /// @brief Adds a page to the metrics endpoint.
    /// @param path Starts with a slash.
    void addPage(const std::string &path, MetricsPageHandler handler);

    void countRequest(const RequestSummary &summary);

    /// @brief Counts a refusal by the placement, also one of a request that was sent before: its
    ///        caller gets a 502, which does not state that it was not executed.
    /// @param reason From a fixed set of names with static lifetime.
    void countRefusal(std::string_view reason) { ++m_refusals[reason]; }

    /// @brief Records the time from sending a prompt to its first event, in milliseconds.
    ///
    /// A prompt without a first event is in neither histogram: if prompts end at their deadline,
    /// the histograms show the faster ones only.
    void countFirstEvent(PromptKind kind, double expectedMs, double actualMs);

    void countSendFailure(const TargetId &target, limits::SendFailure failure);

    /// @brief Counts a complete response of a target.
    /// @param connection How the target ended the connection, or "open".
    void countResponseEnd(http::Framing framing, std::string_view connection);

    void countTargetNotice(TargetNoticeKind kind) { ++m_notices[kind]; }

    /// @brief Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    using RequestKey = std::tuple<std::string, fleet::RetrySemantics, int, std::string>;
    using LatencyKey = std::pair<std::string, fleet::RetrySemantics>;

    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   net::RequestBody body) override;
    std::string teamLabel(const TeamId &team);
    void respondWithPage(net::ServerConnection &connection, const std::string &target) const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    int m_port;
    std::shared_ptr<net::Listener> m_listener;
    std::map<std::string, std::function<double()>> m_gauges;
    std::map<RequestKey, std::uint64_t> m_requests;
    std::map<LatencyKey, metrics::MeasureHistograms> m_latencies;
    std::map<std::pair<std::string, limits::SendFailure>, std::uint64_t> m_failures;
    std::map<std::pair<http::Framing, std::string_view>, std::uint64_t> m_responseEnds;
    std::map<TargetNoticeKind, std::uint64_t> m_notices;
    std::map<std::string, MetricsPageHandler> m_pages;
    std::map<std::string_view, std::uint64_t> m_refusals;
    std::map<PromptKind, metrics::MeasureHistograms> m_expectedFirstEvents;
    std::map<PromptKind, metrics::MeasureHistograms> m_actualFirstEvents;
};

} // namespace egretmount::node

template<>
struct egretmount::NameTable<egretmount::node::TargetNoticeKind>
{
    using TargetNoticeKind = egretmount::node::TargetNoticeKind;
    static constexpr std::array<NameEntry<TargetNoticeKind>, 3> entries { {
        { TargetNoticeKind::Leaving, "leaving" },
        { TargetNoticeKind::TurnedAway, "turned-away" },
        { TargetNoticeKind::Limited, "limited" },
    } };
};

template<>
struct egretmount::NameTable<egretmount::node::PromptKind>
{
    using PromptKind = egretmount::node::PromptKind;
    static constexpr std::array<NameEntry<PromptKind>, 2> entries { {
        { PromptKind::Short, "short" },
        { PromptKind::Long, "long" },
    } };
};
