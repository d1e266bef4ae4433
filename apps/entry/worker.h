#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <egretmount/core/clock.h>

#include "kernel/loop.h"

namespace egretmount::entry {

/// @brief A thread for blocking calls that asks the loop for its decisions.
class Worker
{
public:
    explicit Worker(kernel::Loop &loop)
        : m_loop(loop)
    { }
    ~Worker() { stop(); }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// @brief Runs a function on the thread; it returns soon after `isStopping` is true.
    void start(std::function<void()> function) { m_thread = std::thread(std::move(function)); }

    /// @brief Wakes `pause` and `onLoop`, and waits for the end of the function.
    void stop();

    /// @brief Waits. Returns early when the worker is stopped.
    void pause(Milliseconds duration);

    bool isStopping();

    /// @brief Runs a function on the loop's thread and waits for its value.
    ///
    /// Unlike `Loop::call` it also ends when the loop never runs, as after a failed start; the
    /// function must hold what it needs by value.
    /// @throws std::runtime_error if the worker is stopped.
    template<typename Value>
    Value onLoop(std::function<Value()> function)
    {
        using Task = std::packaged_task<Value()>;
        const std::shared_ptr<Task> task = std::make_shared<Task>(std::move(function));
        std::future<Value> result = task->get_future();
        m_loop.post([task] { (*task)(); });
        while (result.wait_for(checkInterval) != std::future_status::ready) {
            if (isStopping())
                throw std::runtime_error("the service was stopped");
        }
        return result.get();
    }

private:
    static constexpr std::chrono::milliseconds checkInterval { 100 };

    kernel::Loop &m_loop;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false; // guarded by m_mutex
};

} // namespace egretmount::entry
