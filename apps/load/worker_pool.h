#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace egretmount::load {

/// @brief A thread pool for blocking jobs. It grows by one thread whenever a job finds no idle one,
/// up to a limit, and never queues a job behind a running one.
class WorkerPool
{
public:
    /// @param maxWorkers Limit of concurrent jobs.
    explicit WorkerPool(std::size_t maxWorkers);

    /// @brief Blocks until all jobs have ended.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// @brief Starts a job immediately.
    /// @return False if all threads are busy and the limit is reached; the job is dropped.
    bool tryStart(std::function<void()> job);

private:
    void workerLoop();

    std::size_t m_maxWorkers;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs; // not yet picked up; guarded by m_mutex
    std::size_t m_idle = 0; // guarded by m_mutex
    bool m_isStopping = false; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

} // namespace egretmount::load
