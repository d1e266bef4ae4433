#include "request_trace.h"

#include <algorithm>

#include "metrics_service.h"

namespace egretmount::entry {

namespace {

constexpr std::size_t gapsAtOnce = 256;
constexpr double millisPerSecond = 1000.0;

} // namespace

RequestTrace::RequestTrace(kernel::ServiceRegistry &registry, const Request &request)
    : m_metrics(registry.find<MetricsService>())
    , m_request(request)
{ }

void RequestTrace::noteAssigned()
{
    ++m_assignments;
    if (m_assignments == 1)
        m_metrics.observe(m_request, metrics::Measure::Queueing, secondsSinceArrival());
    else
        m_metrics.countRetry();
}

void RequestTrace::noteToken()
{
    const Clock::time_point now = Clock::now();
    if (!m_hasToken)
        m_metrics.observeFirstToken(m_request, secondsSinceArrival());
    else
        m_gaps.push_back(std::chrono::duration<double>(now - m_lastToken).count());
    m_hasToken = true;
    m_lastToken = now;
    if (m_gaps.size() < gapsAtOnce)
        return;
    m_metrics.observeGaps(m_request, m_gaps);
    m_gaps.clear();
}

void RequestTrace::finish(Verdict verdict, const Error *error, bool isHeadSent)
{
    if (!m_gaps.empty())
        m_metrics.observeGaps(m_request, m_gaps);
    if (!error)
        m_metrics.observe(m_request, metrics::Measure::Total, secondsSinceArrival());
    if (isHeadSent)
        m_metrics.countOutcome(verdict, error ? &error->id : nullptr);
}

// The arrival is known to the millisecond only; what came after the start is known better.
double RequestTrace::secondsSinceArrival() const
{
    const double sinceStart = std::chrono::duration<double>(Clock::now() - m_start).count();
    const std::chrono::milliseconds start =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_start.time_since_epoch());
    const double beforeStart =
        static_cast<double>(start.count() - m_request.arrival.count()) / millisPerSecond;
    return sinceStart + std::max(0.0, beforeStart);
}

} // namespace egretmount::entry
