#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include <egretmount/core/request.h>
#include <egretmount/metrics/metrics_state.h>

#include "http/server.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief Counts what requests met, and shows it at `GET /metrics`. All methods: any thread.
///
/// Nothing is decided by these figures, so they have a lock of their own and cost the loop nothing.
class MetricsService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "metrics";

    explicit MetricsService(kernel::ServiceRegistry &registry)
        : m_registry(registry)
    { }

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Adds the page to a server that is not started yet.
    void addRoutes(http::Server &server);

    /// @brief Counts a value of a measure.
    void observe(const Request &request, metrics::Measure measure, double value);

    /// @brief Counts the first token of a request, in seconds since its arrival.
    void observeFirstToken(const Request &request, double seconds);

    /// @brief Counts times between the tokens of a request, in seconds.
    void observeGaps(const Request &request, const std::vector<double> &gaps);

    /// @brief Counts how a request ended. @param error Null: with its whole answer.
    void countOutcome(Verdict verdict, const ErrorId *error);

    /// @brief Counts a further target tried for a request.
    void countRetry();

    /// @brief Takes in whether a target reports itself warm.
    void recordWarmth(const TargetId &target, bool isWarm);

private:
    void send(http::Exchange &exchange);

    kernel::ServiceRegistry &m_registry;
    std::mutex m_mutex;
    metrics::MetricsState m_state; // guarded by m_mutex
};

/// @brief Counts an answer from its head, once it has been sent.
class AnswerCount
{
public:
    /// @param isStream The end of a stream is not known from its head; its trace counts it.
    AnswerCount(kernel::ServiceRegistry &registry, http::Exchange &exchange, bool isStream)
        : m_registry(registry)
        , m_exchange(exchange)
        , m_isStream(isStream)
    { }
    ~AnswerCount();

    AnswerCount(const AnswerCount &) = delete;
    AnswerCount &operator=(const AnswerCount &) = delete;

private:
    kernel::ServiceRegistry &m_registry;
    http::Exchange &m_exchange;
    bool m_isStream;
};

} // namespace egretmount::entry
