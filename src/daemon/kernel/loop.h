#pragma once

#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>
#include <vector>

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <egretmount/core/clock.h>

namespace egretmount::kernel {

/// @brief The event loop that owns all decision state of a process.
///
/// Decision state is touched on the loop's thread only, so it needs no locks. Other threads hand
/// work over with `post` and `call`. The loop also carries the process's Cap'n Proto connections.
class Loop : private kj::TaskSet::ErrorHandler
{
public:
    /// @brief Makes a loop on the calling thread; `run` must be called on the same thread.
    Loop();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// @brief Runs until `stop`. @pre Called on the thread that made the loop.
    void run();

    /// @brief Ends `run` after the task in hand. Any thread; more than one call does no harm.
    void stop();

    /// @brief Ends `run` because the process cannot go on; `hasFailed` is true afterwards. Loop
    /// thread only.
    void fail();

    bool hasFailed() const { return m_hasFailed; }

    /// @brief Runs a task on the loop's thread soon. Any thread. Tasks keep their order.
    ///
    /// Once the loop has ended, tasks are destroyed without being run.
    void post(std::function<void()> task);

    /// @brief Runs a function on the loop's thread and waits for its result. Any thread.
    /// @throws std::future_error if the loop has ended.
    template<typename Function>
    std::invoke_result_t<Function> call(Function function)
    {
        using Task = std::packaged_task<std::invoke_result_t<Function>()>;
        if (isLoopThread())
            return function();
        std::shared_ptr<Task> task = std::make_shared<Task>(std::move(function));
        std::future<std::invoke_result_t<Function>> result = task->get_future();
        post([task = std::move(task)] { (*task)(); });
        return result.get();
    }

    /// @brief Runs a task once after a delay. Loop thread only.
    void after(Milliseconds delay, std::function<void()> task);

    /// @brief Runs a task again and again until the loop ends. Loop thread only.
    void every(Milliseconds interval, std::function<void()> task);

    /// @brief Adds a listener that is told how long the process was paused. Loop thread only.
    void onPause(std::function<void(Milliseconds)> listener);

    /// @brief Keeps a promise alive until it is done; a failure is logged. Loop thread only.
    void addTask(kj::Promise<void> promise);

    bool isLoopThread() const { return std::this_thread::get_id() == m_thread; }
    kj::AsyncIoProvider &io() { return *m_io.provider; }
    kj::Timer &timer() { return m_io.provider->getTimer(); }
    kj::UnixEventPort &eventPort() { return m_io.unixEventPort; }

private:
    void taskFailed(kj::Exception &&exception) override;
    void armWakeup();
    void runPostedTasks();
    void checkForPause();

    std::thread::id m_thread;
    kj::AsyncIoContext m_io;
    kj::TaskSet m_tasks;
    kj::Own<kj::PromiseFulfiller<void>> m_stopFulfiller;
    kj::Promise<void> m_stopPromise;
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_postedTasks; // guarded by m_mutex
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wakeupFulfiller; // guarded by m_mutex
    bool m_hasEnded = false; // guarded by m_mutex
    std::vector<std::function<void(Milliseconds)>> m_pauseListeners;
    Milliseconds m_lastTick;
    bool m_hasFailed = false;
};

} // namespace egretmount::kernel
