#include "kernel/daemon.h"

#include <csignal>
#include <exception>

#include <glog/logging.h>

#include "kernel/settings.h"

namespace egretmount::kernel {

namespace {

void handleStopSignal(Loop &loop, int signal, const std::shared_ptr<bool> &isHandled,
                      const std::function<void()> &handler)
{
    loop.addTask(loop.eventPort().onSignal(signal).then([=, &loop](siginfo_t &&) {
        handleStopSignal(loop, signal, isHandled, handler);
        if (*isHandled)
            return;
        *isHandled = true;
        LOG(INFO) << "kernel: stopping signal=" << signal;
        handler();
    }));
}

} // namespace

void captureStopSignals()
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    std::signal(SIGPIPE, SIG_IGN);
}

int runDaemon(Loop &loop, ServiceRegistry &registry)
{
    return runDaemon(loop, registry, [&loop] { loop.stop(); });
}

int runDaemon(Loop &loop, ServiceRegistry &registry, const std::function<void()> &onSignal)
{
    const std::shared_ptr<bool> isHandled = std::make_shared<bool>(false);
    handleStopSignal(loop, SIGTERM, isHandled, onSignal);
    handleStopSignal(loop, SIGINT, isHandled, onSignal);
    try {
        registry.startAll();
    } catch (const std::exception &error) {
        LOG(ERROR) << "kernel: cannot start a service reason=\"" << error.what() << '"';
        registry.stopAll();
        return exitCannotStart;
    }
    loop.run();
    registry.stopAll();
    return loop.hasFailed() ? exitCannotStart : 0;
}

} // namespace egretmount::kernel
