#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <egretmount/core/ids.h>

#include "kernel/service.h"

namespace egretmount::entry {

/// @brief One stream to cancel at a target.
struct Cancellation
{
    std::string address;
    RequestId id;
    std::string owner; ///< Only a stream of this owner is cancelled.
    std::function<void()> done; ///< Called once, whether or not the target answered. Any thread.
};

/// @brief Cancels streams at targets in threads of its own, so that no caller waits for it.
///
/// A cancel that is lost costs memory at the target until the request's deadline only.
class CancelService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "cancel";

    ~CancelService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief Cancels a stream soon. A full queue drops it. Any thread, never waits for a target.
    void cancel(Cancellation cancellation);

private:
    void work();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Cancellation> m_queue; // guarded by m_mutex
    bool m_isStopping = false; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

} // namespace egretmount::entry
