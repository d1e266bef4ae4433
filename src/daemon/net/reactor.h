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

/// @brief Receives the readiness events of a watched socket.
class SocketWatcher
{
public:
    SocketWatcher() = default;
    SocketWatcher(const SocketWatcher &) = delete;
    SocketWatcher &operator=(const SocketWatcher &) = delete;
    virtual ~SocketWatcher() = default;

    /// @brief Called on the reactor's thread. The reactor keeps the watcher alive during the call.
    virtual void onReady(bool isReadable, bool isWritable, bool hasFailed) = 0;
};

/// @brief Identifies a timer; 0 means "no timer".
using TimerId = std::uint64_t;

/// @brief A single-threaded event loop for sockets and timers.
///
/// Not thread-safe: all member functions must be called on the thread that calls `run`.
class Reactor
{
public:
    Reactor() = default;
    ~Reactor();

    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    /// @brief Starts watching a socket.
    /// @param mode Events to watch for: a combination of `Poco::Net::PollSet::Mode` flags.
    void watch(const Poco::Net::Socket &socket, int mode, std::shared_ptr<SocketWatcher> watcher);

    /// @brief Changes the events that a watched socket is watched for.
    void update(const Poco::Net::Socket &socket, int mode);

    /// @brief Stops watching a socket. The watcher is not called again, not even for events that
    ///        were already polled. Does nothing if the socket is not watched.
    void unwatch(const Poco::Net::Socket &socket);

    /// @brief Runs a task once after a delay; without one, in the next round of callbacks.
    TimerId after(Milliseconds delay, std::function<void()> task);

    /// @brief Runs a task repeatedly. A late run also delays the following ones; missed runs are
    ///        not made up for.
    void every(Milliseconds interval, std::function<void()> task);

    /// @brief Cancels a timer and sets `id` to 0. Does nothing else if the timer has already fired
    ///        or `id` is 0.
    void cancel(TimerId &id);

    /// @brief Runs a task after the current round of callbacks, before the next poll. If a deferred
    ///        task calls this, the new task runs after that poll.
    ///
    /// Tasks that defer each other without end therefore starve neither sockets nor timers.
    void defer(std::function<void()> task);

    /// @brief Runs until `stop` is called. The remaining socket callbacks of the current round
    ///        still run, but timers that are due do not.
    void run();

    /// @brief Runs the deferred tasks, also those that they defer, for up to 1,000 rounds. After
    /// `run` has returned, this
    ///        releases what the tasks hold while the objects that they use still exist.
    void runDeferred();
    void stop() { m_isStopped = true; }

    /// @brief Returns the time at which the current round of callbacks began.
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

    /// @brief Runs the tasks that are deferred now.
    void runDeferredOnce();
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
