#include "plain.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace egretmount::standins {

PlainService::PlainService(Milliseconds callTime)
    : m_callTime(callTime)
    , m_bootId((static_cast<std::uint64_t>(std::random_device()()) << 20U) | 1U)
{ }

void PlainService::execute(const std::string &key, const std::string &call)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_executions.push_back({ key, call, monotonicNow() });
        ++m_runningCalls;
        m_peakCalls = std::max(m_peakCalls, m_runningCalls);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(m_callTime.count()));
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_runningCalls;
}

std::vector<Execution> PlainService::executions() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_executions;
}

std::int64_t PlainService::peakCalls() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_peakCalls;
}

routing::LoadReport PlainService::report() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    routing::LoadReport load;
    load.bootId = m_bootId;
    load.usedSlots = m_runningCalls;
    load.isWarm = true;
    return load;
}

} // namespace egretmount::standins
