#include "worker_pool.h"

namespace egretmount::load {

WorkerPool::WorkerPool(std::size_t maxWorkers)
    : m_maxWorkers(maxWorkers)
{ }

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

bool WorkerPool::tryStart(std::function<void()> job)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool hasIdle = m_idle > m_jobs.size();
        if (!hasIdle && m_threads.size() >= m_maxWorkers)
            return false;
        m_jobs.push_back(std::move(job));
        if (!hasIdle)
            m_threads.emplace_back([this] { workerLoop(); });
    }
    m_changed.notify_one();
    return true;
}

void WorkerPool::workerLoop()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_changed.wait(lock, [this] { return m_isStopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty())
            return;
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace egretmount::load
