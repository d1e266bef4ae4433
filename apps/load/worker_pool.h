#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace egretmount::load {

/// @brief Threads that carry out blocking jobs; a thread is added when none is free.
class WorkerPool
{
public:
    /// @param maxWorkers Jobs carried out at one time.
    explicit WorkerPool(std::size_t maxWorkers);

    /// @brief Waits for all jobs.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// @brief Starts a job at once. @return False if all workers are busy and no more may be added.
    bool tryStart(std::function<void()> job);

private:
    void workerLoop();

    std::size_t m_maxWorkers;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs; // guarded by m_mutex
    std::size_t m_idle = 0; // guarded by m_mutex
    bool m_isStopping = false; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

} // namespace egretmount::load
