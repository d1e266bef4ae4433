#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>

#include "http/client.h"
#include "http/connection_monitor.h"
#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief Why a request ended before its answer was whole.
enum class Interruption {
    None,
    DeadlinePassed,
    CallerGone,
};

/// @brief The deadline and the caller of one request, watched from the loop's thread.
///
/// The request's own thread blocks in reads from a target. The watch aborts that call when the
/// deadline passes or the caller leaves, so that no answer waits on a silent target. A caller that
/// does not read its answer for some time after the deadline is disconnected.
class RequestWatch
{
public:
    /// @param caller Nothing: only the deadline is watched.
    explicit RequestWatch(Milliseconds deadline,
                          const std::optional<http::ConnectionMonitor> &caller = std::nullopt);

    Milliseconds deadline() const { return m_deadline; }
    Interruption interruption() const;

    /// @brief Names the call to abort; null: none. Aborts it at once if already interrupted.
    void setCall(const std::shared_ptr<http::ClientCall> &call);

    /// @brief Ends the watch; afterwards the caller's connection is not touched.
    void close();

    /// @brief Looks at the clock and, if `checkCaller`, at the caller's connection.
    void check(Milliseconds now, bool checkCaller);

private:
    Milliseconds m_deadline;
    mutable std::mutex m_mutex;
    std::optional<http::ConnectionMonitor> m_caller; // guarded by m_mutex
    bool m_isClosed = false; // guarded by m_mutex
    Milliseconds m_interruptedAt; // guarded by m_mutex
    Interruption m_interruption = Interruption::None; // guarded by m_mutex
    std::shared_ptr<http::ClientCall> m_call; // guarded by m_mutex
};

/// @brief Checks all watched requests at short intervals.
class WatchService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "watch";

    explicit WatchService(kernel::Loop &loop)
        : m_loop(loop)
    { }

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Watches a request until it is closed or destroyed. Any thread.
    void add(const std::shared_ptr<RequestWatch> &watch);

private:
    void sweep();

    kernel::Loop &m_loop;
    std::vector<std::weak_ptr<RequestWatch>> m_watches;
    int m_sweeps = 0;
};

} // namespace egretmount::entry
