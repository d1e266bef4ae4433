// An entry instance: callers connect here, and it routes their requests to targets.

#include <memory>

#include <glog/logging.h>

#include "caller_service.h"
#include "cancel_service.h"
#include "config_service.h"
#include "credit_service.h"
#include "dispatch_service.h"
#include "entry_settings.h"
#include "kernel/daemon.h"
#include "metrics_service.h"
#include "order_service.h"
#include "peer_service.h"
#include "request_watch.h"
#include "status_service.h"
#include "ticket_service.h"

namespace {

using namespace egretmount;
using namespace egretmount::literals;

constexpr Milliseconds idleCheckInterval = 20_ms;

// Long enough for a request on a connection that was accepted before.
constexpr Milliseconds idleTime = 200_ms;

// Every request ends by its deadline, so this ends too.
void stopWhenIdle(kernel::Loop &loop, const entry::CallerService &callers, Milliseconds idle)
{
    if (idle >= idleTime)
        return loop.stop();
    const Milliseconds idleSoFar =
        callers.current() == 0 ? idle + idleCheckInterval : Milliseconds();
    loop.after(idleCheckInterval,
               [&loop, &callers, idleSoFar] { stopWhenIdle(loop, callers, idleSoFar); });
}

// Callers keep the answer of /v1/locate for a while, so the address stays served that long.
void drain(kernel::Loop &loop, const entry::EntrySettings &settings, entry::PeerService &peers,
           entry::CallerService &callers)
{
    peers.setDraining();
    loop.after(settings.locateMaxAge + settings.drainSlack, [&loop, &callers] {
        callers.refuseNew();
        stopWhenIdle(loop, callers, Milliseconds());
    });
}

} // namespace

int main(int argc, char **argv)
{
    kernel::captureStopSignals();
    const kernel::Settings settings = kernel::Settings::loadOrExit(
        argc, argv, "Entry instance of egretmount.", entry::entrySettingsSpecs());
    const entry::EntrySettings own = entry::readEntrySettings(settings);

    kernel::Loop loop;
    kernel::ServiceRegistry registry;
    registry.add(std::make_unique<entry::ConfigService>(loop, own));
    entry::PeerService &peers =
        registry.add(std::make_unique<entry::PeerService>(loop, registry, own));
    registry.add(std::make_unique<entry::CreditService>(loop, registry, own));
    registry.add(std::make_unique<entry::DispatchService>(loop, registry, own));
    registry.add(std::make_unique<entry::WatchService>(loop));
    registry.add(std::make_unique<entry::MetricsService>(registry));
    registry.add(std::make_unique<entry::CancelService>());
    registry.add(std::make_unique<entry::StatusService>(loop, registry, own));
    registry.add(std::make_unique<entry::OrderService>(loop, registry, own));
    registry.add(std::make_unique<entry::TicketService>(loop, registry, own));
    entry::CallerService &callers =
        registry.add(std::make_unique<entry::CallerService>(loop, registry, own));

    return kernel::runDaemon(loop, registry, [&] { drain(loop, own, peers, callers); });
}
