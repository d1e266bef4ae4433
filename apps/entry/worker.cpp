#include "worker.h"

namespace egretmount::entry {

void Worker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void Worker::pause(Milliseconds duration)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stopped.wait_for(lock, std::chrono::milliseconds(duration.count()),
                       [this] { return m_isStopping; });
}

bool Worker::isStopping()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_isStopping;
}

} // namespace egretmount::entry
