#pragma once

#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::kernel {

/// @brief Captures the signals that `runDaemon` handles and ignores SIGPIPE. Must be called at the
///        start of `main`, before any thread is created.
void captureStopSignals();

/// @brief Starts all services, runs the loop until SIGTERM or SIGINT, and stops the services.
/// @return The exit code of the process: `exitCannotStart` if a service cannot start or the loop
///        was ended by `Loop::fail`, else 0.
int runDaemon(Loop &loop, ServiceRegistry &registry);

/// @brief Same as above, but calls `onSignal` at the first SIGTERM or SIGINT instead of stopping
///        the loop, for a graceful shutdown.
///
/// `onSignal` must ensure that `Loop::stop` is called eventually. Further signals are ignored.
int runDaemon(Loop &loop, ServiceRegistry &registry, const std::function<void()> &onSignal);

} // namespace egretmount::kernel
