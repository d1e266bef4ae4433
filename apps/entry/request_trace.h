#pragma once

#include <chrono>
#include <vector>

#include <egretmount/core/error.h>
#include <egretmount/core/request.h>

#include "kernel/service.h"

namespace egretmount::entry {

class MetricsService;

/// @brief Measures the times of one streamed request. One thread.
class RequestTrace
{
public:
    RequestTrace(kernel::ServiceRegistry &registry, const Request &request);

    /// @brief A target was given; the second and later ones are retries.
    void noteAssigned();

    /// @brief A token goes to the caller.
    void noteToken();

    /// @brief The request has ended. @param error Null: with its whole answer.
    /// @param isHeadSent The caller had a part of the answer, or has left without any.
    void finish(Verdict verdict, const Error *error, bool isHeadSent);

private:
    using Clock = std::chrono::steady_clock;

    double secondsSinceArrival() const;

    MetricsService &m_metrics;
    const Request &m_request;
    Clock::time_point m_start = Clock::now();
    Clock::time_point m_lastToken;
    std::vector<double> m_gaps;
    int m_assignments = 0;
    bool m_hasToken = false;
};

} // namespace egretmount::entry
