#include "net/reactor.h"

#include <algorithm>
#include <utility>

#include <Poco/Timespan.h>
#include <glog/logging.h>

namespace egretmount::net {

namespace {

// Bounds the delay with which the owner of the loop sees a flag that a signal handler has set: the
// owner checks the flag in a timer callback.
constexpr Milliseconds maxPollTimeout = Milliseconds(100);
// Tasks that release objects at the end of a process defer few others.
constexpr int maxRoundsAfterLoop = 1'000;

} // namespace

Reactor::~Reactor()
{
    // The destructors of the watchers and tasks may call `cancel` or `unwatch`. The containers are
    // therefore moved out before they are destroyed, and the loop repeats until none is refilled.
    while (!m_watchers.empty() || !m_timers.empty() || !m_deferred.empty()) {
        const std::unordered_map<Poco::Net::SocketImpl *, std::shared_ptr<SocketWatcher>> watchers =
            std::exchange(m_watchers, {});
        const std::map<TimerKey, std::function<void()>, EarlierTimer> timers =
            std::exchange(m_timers, {});
        const std::vector<std::function<void()>> deferred = std::exchange(m_deferred, {});
        m_timerDeadlines.clear();
    }
}

void Reactor::watch(const Poco::Net::Socket &socket, int mode,
                    std::shared_ptr<SocketWatcher> watcher)
{
    m_watchers[socket.impl()] = std::move(watcher);
    m_pollSet.add(socket, mode);
}

void Reactor::update(const Poco::Net::Socket &socket, int mode)
{
    m_pollSet.update(socket, mode);
}

void Reactor::unwatch(const Poco::Net::Socket &socket)
{
    if (m_watchers.erase(socket.impl()) > 0)
        m_pollSet.remove(socket);
}

TimerId Reactor::after(Milliseconds delay, std::function<void()> task)
{
    const TimerId id = ++m_lastTimer;
    const Milliseconds at = m_now + std::max(delay, Milliseconds());
    m_timers.emplace(TimerKey(at, id), std::move(task));
    m_timerDeadlines.emplace(id, at);
    return id;
}

void Reactor::every(Milliseconds interval, std::function<void()> task)
{
    after(interval, [this, interval, task = std::move(task)] {
        task();
        every(interval, task);
    });
}

void Reactor::cancel(TimerId &id)
{
    const auto found = m_timerDeadlines.find(id);
    if (found != m_timerDeadlines.end()) {
        m_timers.erase(TimerKey(found->second, id));
        m_timerDeadlines.erase(found);
    }
    id = 0;
}

void Reactor::defer(std::function<void()> task)
{
    m_deferred.push_back(std::move(task));
}

void Reactor::run()
{
    m_isStopped = false;
    while (!m_isStopped) {
        runDeferredOnce();
        const Milliseconds pollTimeout = m_deferred.empty() ? timeToNextTimer() : Milliseconds();
        const Poco::Net::PollSet::SocketModeMap ready =
            m_pollSet.poll(Poco::Timespan(pollTimeout.count() * Poco::Timespan::MILLISECONDS));
        m_now = monotonicNow();
        for (const auto &[socket, mode] : ready) {
            // An earlier callback of this round may have removed the watcher.
            const auto found = m_watchers.find(socket.impl());
            if (found == m_watchers.end())
                continue;
            const std::shared_ptr<SocketWatcher> watcher = found->second;
            watcher->onReady((mode & Poco::Net::PollSet::POLL_READ) != 0,
                             (mode & Poco::Net::PollSet::POLL_WRITE) != 0,
                             (mode & Poco::Net::PollSet::POLL_ERROR) != 0);
        }
        runTimers();
    }
}

void Reactor::runDeferred()
{
    for (int round = 0; !m_deferred.empty(); ++round) {
        if (round == maxRoundsAfterLoop) {
            LOG(WARNING) << "reactor: tasks defer others without end tasks=" << m_deferred.size();
            return;
        }
        runDeferredOnce();
    }
}

void Reactor::runDeferredOnce()
{
    const std::vector<std::function<void()>> tasks = std::exchange(m_deferred, {});
    for (const std::function<void()> &task : tasks)
        task();
}

void Reactor::runTimers()
{
    // Timers that are started meanwhile wait for the next round, even without a delay. They have
    // greater ids, and therefore follow all that are due already.
    const TimerId last = m_lastTimer;
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now
           && m_timers.begin()->first.second <= last && !m_isStopped) {
        const auto first = m_timers.begin();
        const std::function<void()> task = std::move(first->second);
        m_timerDeadlines.erase(first->first.second);
        m_timers.erase(first);
        task();
    }
}

Milliseconds Reactor::timeToNextTimer() const
{
    if (m_timers.empty())
        return maxPollTimeout;
    const Milliseconds remaining = m_timers.begin()->first.first - monotonicNow();
    return std::clamp(remaining, Milliseconds(), maxPollTimeout);
}

} // namespace egretmount::net
