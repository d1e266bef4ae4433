#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/routing/load_report.h>

#include "kernel/loop.h"

namespace egretmount::entry {

/// @brief Reads load reports of targets that send none with answers, on a few threads of its own.
class LoadPoller
{
public:
    using Listener =
        std::function<void(const TargetId &, const routing::LoadReport &, Milliseconds takenAt)>;

    /// @param listener Called on the loop's thread.
    LoadPoller(kernel::Loop &loop, Listener listener);
    ~LoadPoller();

    LoadPoller(const LoadPoller &) = delete;
    LoadPoller &operator=(const LoadPoller &) = delete;

    /// @brief Reads a target's load soon; does nothing while it is being read. Any thread.
    void poll(const TargetId &target, const std::string &address);

    /// @brief Ends the threads. More than one call does no harm.
    void stop();

private:
    struct Order
    {
        TargetId target;
        std::string address;
    };

    void work();
    void read(const Order &order);

    kernel::Loop &m_loop;
    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Order> m_orders; // guarded by m_mutex
    std::set<TargetId> m_current; // guarded by m_mutex
    bool m_isStopping = false; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

} // namespace egretmount::entry
