#pragma once

#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::kernel {

/// @brief Blocks the signals that `runDaemon` handles. Call first in `main`, before any thread.
void captureStopSignals();

/// @brief Starts all services, runs until a stop signal, then stops them.
/// @return The exit code of the process.
int runDaemon(Loop &loop, ServiceRegistry &registry);

/// @brief The same, with `onSignal` called at the first SIGTERM or SIGINT in place of stopping.
///
/// `onSignal` must see to it that `Loop::stop` is called later. Further signals change nothing.
int runDaemon(Loop &loop, ServiceRegistry &registry, const std::function<void()> &onSignal);

} // namespace egretmount::kernel
