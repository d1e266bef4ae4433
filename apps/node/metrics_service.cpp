#include "metrics_service.h"

#include <algorithm>
#include <sstream>

#include <Poco/Exception.h>
#include <glog/logging.h>

#include "fleet_service.h"

namespace egretmount::node {

namespace {

// Limits on rows with a label of their own; all others share one. They bound the memory use and the
// size of the page.
constexpr std::size_t maxTeams = 64;
constexpr std::size_t maxTargets = 256;
constexpr const char *otherLabel = "other";

void writeHistogram(std::ostringstream &out, const std::string &name, const std::string &labels,
                    const metrics::MeasureHistograms &histograms, metrics::Measure measure)
{
    std::uint64_t count = 0;
    for (const metrics::Bucket &bucket : histograms.buckets(measure)) {
        if (bucket.cumulativeCount == count && bucket.upperBound < 1e9)
            continue; // empty buckets would make up most of the page
        count = bucket.cumulativeCount;
        out << name << "_bucket{" << labels << ",le=\"";
        if (bucket.upperBound < 1e9)
            out << bucket.upperBound;
        else
            out << "+Inf";
        out << "\"} " << count << '\n';
    }
    out << name << "_sum{" << labels << "} " << histograms.sum(measure) << '\n';
    out << name << "_count{" << labels << "} " << count << '\n';
}

} // namespace

MetricsService::MetricsService(net::Reactor &reactor, kernel::ServiceRegistry &registry, int port)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_port(port)
{ }

void MetricsService::start()
{
    if (m_port == 0)
        return;
    const std::string address =
        m_registry.find<FleetService>().settings().host + ':' + std::to_string(m_port);
    try {
        m_listener =
            net::Listener::open(m_reactor, address, [this](const Poco::Net::StreamSocket &socket) {
                net::ServerConnection::serve(m_reactor, socket, *this);
            });
    } catch (const Poco::Exception &error) {
        // A failure of the metrics endpoint must not prevent serving callers.
        LOG(ERROR) << "metrics: cannot listen address=" << address << " reason=\""
                   << error.displayText() << '"';
    }
}

void MetricsService::addGauge(const std::string &name, std::function<double()> read)
{
    m_gauges[name] = std::move(read);
}

void MetricsService::addPage(const std::string &path, MetricsPageHandler handler)
{
    m_pages[path] = std::move(handler);
}

std::string MetricsService::teamLabel(const TeamId &team)
{
    const bool isKnown = std::any_of(m_latencies.begin(), m_latencies.end(), [&](const auto &row) {
        return row.first.first == team.value;
    });
    return isKnown || m_latencies.size() < maxTeams ? team.value : otherLabel;
}

void MetricsService::countRequest(const RequestSummary &summary)
{
    const std::string team = teamLabel(summary.team);
    ++m_requests[{ team, summary.kind, summary.status, summary.outcome }];
    metrics::MeasureHistograms &histograms = m_latencies[{ team, summary.kind }];
    histograms.add(metrics::Measure::Total, summary.totalSeconds);
    if (summary.firstEventSeconds > 0)
        histograms.add(metrics::Measure::FirstToken, summary.firstEventSeconds);
    if (summary.longestEventGapSeconds > 0)
        histograms.add(metrics::Measure::BetweenTokens, summary.longestEventGapSeconds);
}

void MetricsService::countSendFailure(const TargetId &target, limits::SendFailure failure)
{
    const bool hasRoom = m_failures.size() < maxTargets;
    ++m_failures[{ hasRoom ? target.value : otherLabel, failure }];
}

void MetricsService::countResponseEnd(http::Framing framing, std::string_view connection)
{
    ++m_responseEnds[{ framing, connection }];
}

void MetricsService::countFirstEvent(PromptKind kind, double expectedMs, double actualMs)
{
    m_expectedFirstEvents[kind].add(metrics::Measure::FirstToken, expectedMs / 1'000);
    m_actualFirstEvents[kind].add(metrics::Measure::FirstToken, actualMs / 1'000);
}

std::string MetricsService::text() const
{
    std::ostringstream out;
    for (const auto &[name, read] : m_gauges)
        out << "# TYPE egretmount_" << name << " gauge\negretmount_" << name << ' ' << read()
            << '\n';
    out << "# TYPE egretmount_requests_total counter\n";
    for (const auto &[key, count] : m_requests) {
        out << "egretmount_requests_total{team=\"" << std::get<0>(key) << "\",kind=\""
            << nameOf(std::get<1>(key)) << "\",status=\"" << std::get<2>(key) << "\",outcome=\""
            << std::get<3>(key) << "\"} " << count << '\n';
    }
    out << "# TYPE egretmount_send_failures_total counter\n";
    for (const auto &[key, count] : m_failures) {
        out << "egretmount_send_failures_total{target=\"" << key.first << "\",failure=\""
            << nameOf(key.second) << "\"} " << count << '\n';
    }
    out << "# TYPE egretmount_response_ends_total counter\n";
    for (const auto &[key, count] : m_responseEnds) {
        out << "egretmount_response_ends_total{framing=\"" << nameOf(key.first)
            << "\",connection=\"" << key.second << "\"} " << count << '\n';
    }
    out << "# TYPE egretmount_target_notices_total counter\n";
    for (const auto &[kind, count] : m_notices)
        out << "egretmount_target_notices_total{kind=\"" << nameOf(kind) << "\"} " << count << '\n';
    out << "# TYPE egretmount_refusals_total counter\n";
    for (const auto &[reason, count] : m_refusals)
        out << "egretmount_refusals_total{reason=\"" << reason << "\"} " << count << '\n';
    for (const auto &[name, rows] :
         { std::pair("egretmount_expected_first_event_seconds", &m_expectedFirstEvents),
           std::pair("egretmount_actual_first_event_seconds", &m_actualFirstEvents) }) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[kind, histograms] : *rows) {
            const std::string labels = "prompt=\"" + std::string(nameOf(kind)) + '"';
            writeHistogram(out, name, labels, histograms, metrics::Measure::FirstToken);
        }
    }
    struct Series
    {
        metrics::Measure measure;
        const char *name;
    };
    for (const Series &series :
         { Series { metrics::Measure::FirstToken, "egretmount_first_event_seconds" },
           Series { metrics::Measure::BetweenTokens, "egretmount_longest_pause_seconds" },
           Series { metrics::Measure::Total, "egretmount_request_seconds" } }) {
        out << "# TYPE " << series.name << " histogram\n";
        for (const auto &[key, histograms] : m_latencies) {
            const std::string labels =
                "team=\"" + key.first + "\",kind=\"" + std::string(nameOf(key.second)) + '"';
            writeHistogram(out, series.name, labels, histograms, series.measure);
        }
    }
    return out.str();
}

void MetricsService::respondWithPage(net::ServerConnection &connection,
                                     const std::string &target) const
{
    const std::size_t mark = std::min(target.find('?'), target.size());
    const auto found = m_pages.find(target.substr(0, mark));
    if (found == m_pages.end()) {
        connection.respond(404, http::reasonPhrase(404), {}, {});
        return;
    }
    const std::string query = mark < target.size() ? target.substr(mark + 1) : std::string();
    const MetricsPage page = found->second(query);
    connection.respond(page.status, http::reasonPhrase(page.status),
                       "Content-Type: " + page.contentType + "\r\n", page.body);
}

void MetricsService::onRequest(const std::shared_ptr<net::ServerConnection> &connection,
                               http::RequestHead head, net::RequestBody)
{
    if (head.target == "/metrics")
        connection->respond(200, http::reasonPhrase(200),
                            "Content-Type: text/plain; version=0.0.4\r\n", text());
    else
        respondWithPage(*connection, head.target);
}

} // namespace egretmount::node
