#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>

#include <malloc.h>

#include <gflags/gflags.h>

#include "crash_guard.h"
#include "directory_service.h"
#include "explain_service.h"
#include "fleet_service.h"
#include "ingress_service.h"
#include "kernel/settings.h"
#include "log_sink.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "placement_service.h"
#include "platform/settings.h"
#include "reach_service.h"
#include "registry_snapshots.h"
#include "registry_sync.h"
#include "relay_service.h"
#include "shutdown_service.h"
#include "target_pool.h"

DEFINE_string(settings, "", "Path of the settings file; empty: the path given by the platform");
DEFINE_int32(metrics_port, 0,
             "Port that serves metrics under /metrics and explanations under /explain; 0: none");
DEFINE_string(
    load_policy, "auto",
    "Decisions for scarce capacity and uneven load: off, on, or auto, which applies them if "
    "there are at least 48 instances and two for each model engine");
DEFINE_bool(check, false, "Validate the settings, print any errors, and exit");

namespace egretmount::node {

namespace {

constexpr Milliseconds logFlushInterval = Milliseconds(50);
// Freed blocks of at least this size are returned to the system at once. The heap would keep some
// of them, as long as later blocks are in use.
constexpr int mappedBlockBytes = 256 * 1024;

void startLogging(const char *program, LogSink &sink)
{
    google::InitGoogleLogging(program);
    for (int severity = google::GLOG_INFO; severity <= google::GLOG_FATAL; ++severity)
        google::SetLogDestination(severity, ""); // no log files: the machines have no disks
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::AddLogSink(&sink);
}

int run(const std::string &path, const instance::Settings &settings,
        placement::LoadPolicyMode loadPolicyMode, LogSink &sink)
{
    net::Reactor reactor;
    kernel::ServiceRegistry registry;
    registry.add(std::make_unique<FleetService>(reactor, settings));
    MetricsService &metrics =
        registry.add(std::make_unique<MetricsService>(reactor, registry, FLAGS_metrics_port));
    metrics.addGauge("log_lines_dropped", [&sink] { return static_cast<double>(sink.dropped()); });
    registry.add(std::make_unique<ReachService>(reactor, registry));
    registry.add(std::make_unique<TargetPool>(reactor, registry));
    registry.add(std::make_unique<CrashGuard>(reactor, registry));
    registry.add(std::make_unique<PlacementService>(reactor, registry, loadPolicyMode));
    registry.add(std::make_unique<PeerService>(reactor, registry));
    registry.add(std::make_unique<RegistrySnapshots>(reactor, registry));
    registry.add(std::make_unique<RegistrySync>(reactor, registry, settings.registryAddress));
    registry.add(std::make_unique<IngressService>(reactor, registry));
    registry.add(std::make_unique<RelayService>(reactor, registry));
    registry.add(std::make_unique<DirectoryService>(reactor, registry));
    registry.add(std::make_unique<ExplainService>(registry));
    registry.add(std::make_unique<ShutdownService>(reactor, registry, path));
    LOG(INFO) << "node: starting instance=" << settings.name << " host=" << settings.host
              << " zone=" << settings.zone.value << " peer_ports=" << settings.firstPeerPort << '-'
              << settings.lastPeerPort;
    try {
        registry.startAll();
    } catch (const std::exception &error) {
        LOG(ERROR) << "node: cannot start reason=\"" << error.what() << '"';
        sink.flush();
        return kernel::exitCannotStart;
    }
    reactor.every(logFlushInterval, [&sink] { sink.flush(); });
    reactor.run();
    registry.stopAll();
    reactor.runDeferred();
    LOG(INFO) << "node: stopped instance=" << settings.name;
    sink.flush();
    return EXIT_SUCCESS;
}

} // namespace

} // namespace egretmount::node

int main(int argc, char **argv)
{
    using namespace egretmount;
    gflags::SetUsageMessage("runs one instance of egretmount on the platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    node::ShutdownService::installSignalHandlers();
    mallopt(M_MMAP_THRESHOLD, node::mappedBlockBytes);
    node::LogSink sink;
    node::startLogging(argv[0], sink);
    const std::string path = FLAGS_settings.empty() ? platform::settingsPath() : FLAGS_settings;
    const tl::expected<instance::Settings, std::string> settings = platform::readSettings(path);
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return kernel::exitBadSettings;
    }
    const std::optional<placement::LoadPolicyMode> loadPolicyMode =
        valueNamed<placement::LoadPolicyMode>(FLAGS_load_policy);
    if (!loadPolicyMode) {
        std::cerr << "--load_policy is \"" << FLAGS_load_policy
                  << "\": it must be off, on or auto\n";
        return kernel::exitBadSettings;
    }
    if (FLAGS_check) {
        std::cout << "settings of " << settings->name << " are valid\n";
        return EXIT_SUCCESS;
    }
    return node::run(path, *settings, *loadPolicyMode, sink);
}
