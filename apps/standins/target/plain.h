#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::standins {

/// @brief One execution of a call by a simulated plain service.
struct Execution
{
    std::string key; ///< Request id; two executions with one key are a duplicate.
    std::string call;
    Milliseconds at;
};

/// @brief Simulates a plain service: each call takes a fixed time and is recorded. Thread-safe.
class PlainService
{
public:
    explicit PlainService(Milliseconds callTime);

    /// @brief Records the execution of a call and blocks for the call time.
    void execute(const std::string &key, const std::string &call);

    std::vector<Execution> executions() const;
    /// @brief Returns the highest number of concurrent calls so far.
    std::int64_t peakCalls() const;

    routing::LoadReport report() const;

private:
    Milliseconds m_callTime;
    std::uint64_t m_bootId;
    mutable std::mutex m_mutex;
    std::vector<Execution> m_executions;
    std::int64_t m_runningCalls = 0;
    std::int64_t m_peakCalls = 0;
};

} // namespace egretmount::standins
