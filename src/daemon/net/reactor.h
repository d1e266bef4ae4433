#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <egretmount/core/clock.h>

namespace egretmount::net {

/// @brief Is told when a watched socket can be used.
class SocketWatcher
{
public:
    SocketWatcher() = default;
    SocketWatcher(const SocketWatcher &) = delete;
    SocketWatcher &operator=(const SocketWatcher &) = delete;
    virtual ~SocketWatcher() = default;

    /// @brief Called on the reactor's thread. The watcher stays alive during the call.
    virtual void onReady(bool isReadable, bool isWritable, bool hasFailed) = 0;
};

/// @brief Identifies a timer; zero names none.
using TimerId = std::uint64_t;

/// @brief One thread's event loop over sockets and timers.
///
/// All functions are called on the thread that runs it.
class Reactor
{
public:
    Reactor() = default;
    ~Reactor();

    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    /// @brief Watches a socket. @param mode Of `Poco::Net::PollSet::Mode`.
    void watch(const Poco::Net::Socket &socket, int mode, std::shared_ptr<SocketWatcher> watcher);

    /// @brief Changes what a watched socket is watched for.
    void update(const Poco::Net::Socket &socket, int mode);

    /// @brief Stops watching a socket; the watcher is not called again.
    void unwatch(const Poco::Net::Socket &socket);

    /// @brief Runs a task once after a delay.
    TimerId after(Milliseconds delay, std::function<void()> task);

    /// @brief Runs a task again and again.
    void every(Milliseconds interval, std::function<void()> task);

    /// @brief Takes a timer back. Does nothing if it has run or names none; sets `id` to zero.
    void cancel(TimerId &id);

    /// @brief Runs a task once the present callbacks are done.
    void defer(std::function<void()> task);

    /// @brief Runs until `stop`, then returns after the callbacks in hand.
    void run();
    void stop() { m_isStopped = true; }

    /// @brief The time at which the present round of callbacks began.
    Milliseconds now() const { return m_now; }

private:
    using TimerKey = std::pair<Milliseconds, TimerId>;

    struct EarlierTimer
    {
        bool operator()(const TimerKey &a, const TimerKey &b) const
        {
            return a.first != b.first ? a.first < b.first : a.second < b.second;
        }
    };

    void runDeferred();
    void runTimers();
    Milliseconds timeToNextTimer() const;

    Poco::Net::PollSet m_pollSet;
    std::unordered_map<Poco::Net::SocketImpl *, std::shared_ptr<SocketWatcher>> m_watchers;
    std::map<TimerKey, std::function<void()>, EarlierTimer> m_timers;
    std::unordered_map<TimerId, Milliseconds> m_timerDeadlines;
    std::vector<std::function<void()>> m_deferred;
    TimerId m_lastTimer = 0;
    Milliseconds m_now = monotonicNow();
    bool m_isStopped = false;
};

} // namespace egretmount::net
