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

/// @brief The main event loop of a process, based on KJ.
///
/// All state for routing and admission decisions is accessed on the loop's thread only, so it needs
/// no locks. Other threads submit work with `post` and `call`. The Cap'n Proto connections of the
/// process run on the same loop.
class Loop : private kj::TaskSet::ErrorHandler
{
public:
    /// @brief Creates a loop that belongs to the calling thread.
    Loop();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// @brief Runs until `stop` or `fail`. @pre Called on the thread that created the loop.
    void run();

    /// @brief Makes `run` return after the tasks posted so far. May be called from any thread and
    ///        more than once.
    void stop();

    /// @brief Makes `run` return because of a fatal error; `hasFailed` is true afterwards. Loop
    ///        thread only.
    void fail();

    bool hasFailed() const { return m_hasFailed; }

    /// @brief Queues a task to run on the loop's thread. May be called from any thread; tasks run
    ///        in the order in which they were posted.
    ///
    /// After the end of the loop, tasks are destroyed without being run.
    void post(std::function<void()> task);

    /// @brief Runs a function on the loop's thread and waits for its result. May be called from any
    ///        thread, including the loop's thread.
    /// @throws std::future_error if the loop ends before the function has run.
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

    /// @brief Runs a task repeatedly until the loop ends. Loop thread only.
    void every(Milliseconds interval, std::function<void()> task);

    /// @brief Adds a listener that is called after the loop has been unable to run for 400 ms or
    ///        longer, for example because the process was stopped by SIGSTOP, with the length of
    ///        the gap. Loop thread only.
    void onPause(std::function<void(Milliseconds)> listener);

    /// @brief Keeps a promise alive until it is resolved; logs the exception if it is rejected.
    ///        Loop thread only.
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
