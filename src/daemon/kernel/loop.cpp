#include "kernel/loop.h"

#include <glog/logging.h>

namespace egretmount::kernel {

using namespace literals;

namespace {

constexpr Milliseconds tickInterval = 50_ms;
constexpr Milliseconds pauseThreshold = 400_ms;

kj::Duration toDuration(Milliseconds delay)
{
    return delay.count() * kj::MILLISECONDS;
}

} // namespace

Loop::Loop()
    : m_thread(std::this_thread::get_id())
    , m_io(kj::setupAsyncIo())
    , m_tasks(*this)
    , m_stopPromise(nullptr)
    , m_lastTick(monotonicNow())
{
    kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
    m_stopFulfiller = kj::mv(pair.fulfiller);
    m_stopPromise = kj::mv(pair.promise);
    armWakeup();
    every(tickInterval, [this] { checkForPause(); });
}

Loop::~Loop() = default;

void Loop::run()
{
    m_stopPromise.wait(m_io.waitScope);
    std::deque<std::function<void()>> dropped;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_hasEnded = true;
    dropped.swap(m_postedTasks);
}

void Loop::stop()
{
    post([this] { m_stopFulfiller->fulfill(); });
}

void Loop::fail()
{
    m_hasFailed = true;
    stop();
}

void Loop::post(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_hasEnded)
        return;
    m_postedTasks.push_back(std::move(task));
    if (m_wakeupFulfiller.get()) {
        m_wakeupFulfiller->fulfill();
        m_wakeupFulfiller = nullptr;
    }
}

void Loop::after(Milliseconds delay, std::function<void()> task)
{
    m_tasks.add(timer().afterDelay(toDuration(delay)).then([task = std::move(task)] { task(); }));
}

void Loop::every(Milliseconds interval, std::function<void()> task)
{
    after(interval, [this, interval, task = std::move(task)]() mutable {
        task();
        every(interval, std::move(task));
    });
}

void Loop::onPause(std::function<void(Milliseconds)> listener)
{
    m_pauseListeners.push_back(std::move(listener));
}

void Loop::addTask(kj::Promise<void> promise)
{
    m_tasks.add(kj::mv(promise));
}

void Loop::taskFailed(kj::Exception &&exception)
{
    LOG(ERROR) << "kernel: an asynchronous task failed reason=\""
               << exception.getDescription().cStr() << '"';
}

void Loop::armWakeup()
{
    kj::PromiseCrossThreadFulfillerPair<void> pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_wakeupFulfiller = kj::mv(pair.fulfiller);
    }
    m_tasks.add(pair.promise.then([this] { runPostedTasks(); }));
}

void Loop::runPostedTasks()
{
    // Armed before the queue is emptied, so that tasks posted from now on wake the loop again.
    armWakeup();
    std::deque<std::function<void()>> tasks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_postedTasks);
    }
    for (std::function<void()> &task : tasks)
        task();
}

void Loop::checkForPause()
{
    const Milliseconds now = monotonicNow();
    const Milliseconds gap = now - m_lastTick - tickInterval;
    m_lastTick = now;
    if (gap < pauseThreshold)
        return;
    LOG(WARNING) << "kernel: the process was paused gap-ms=" << gap.count();
    for (const std::function<void(Milliseconds)> &listener : m_pauseListeners)
        listener(gap);
}

} // namespace egretmount::kernel
