#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::standins {

/// @brief One execution of a call by a plain target.
struct Execution
{
    std::string key; ///< Identity of the call, so that a second execution is seen.
    std::string call;
    Milliseconds at;
};

/// @brief A stand-in for a plain service: it takes a fixed time and logs every execution.
class PlainService
{
public:
    explicit PlainService(Milliseconds callTime);

    /// @brief Executes a call; takes the call time.
    void execute(const std::string &key, const std::string &call);

    std::vector<Execution> executions() const;
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
