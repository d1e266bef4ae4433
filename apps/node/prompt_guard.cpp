#include "prompt_guard.h"

#include <glog/logging.h>

#include "fleet_service.h"
#include "platform/messages.h"
#include "platform/orders.h"
#include "prompt_text.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// The port of a crashed process refuses connections at once; only a cut-off one takes so long.
constexpr Milliseconds crashCheckTimeout = Milliseconds(400);

} // namespace

PromptGuard::PromptGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void PromptGuard::start()
{
    m_targets = &m_registry.find<TargetPool>();
}

void PromptGuard::onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                                   const std::vector<PromptPartId> &parts)
{
    if (parts.empty() || !m_targets->acceptsWork(target))
        return;
    const placement::EngineKey key = keyOf(target.id);
    CrashCheck &check = m_checks[key];
    check.parts.insert(parts.begin(), parts.end());
    if (check.client)
        return;
    check.target = target;
    check.startedAt = startedAt;
    check.askedAt = m_reactor.now();
    check.client = std::make_shared<net::HttpClient>(m_reactor, target.address);
    check.client->get(
        std::string(platform::reportPath()), crashCheckTimeout,
        [this, key](int status, const std::string &body) { onChecked(key, status, body); });
}

void PromptGuard::onChecked(placement::EngineKey key, int status, const std::string &body)
{
    const auto found = m_checks.find(key);
    const CrashCheck check = std::move(found->second);
    m_checks.erase(found);
    // Deferred because it destroys the client that runs this callback.
    m_reactor.defer([client = check.client] {});
    limits::EndReport report = platform::endReportOf(status, body);
    report.isListening = check.client->hasConnected();
    m_targets->recordNotices(check.target,
                             platform::readResponseFields(check.client->responseHead()),
                             platform::startStampOf(body));
    // No evidence of a crash: the network between this instance and the target is at fault.
    const bool isCutOff =
        !report.isListening && m_reactor.now() - check.askedAt >= crashCheckTimeout;
    const bool hasCrashed = !isCutOff && limits::hasRestartedOrEnded(report, check.startedAt);
    LOG(INFO) << "prompts: connection lost target=" << check.target.id.value
              << " crashed=" << hasCrashed << " cut_off=" << isCutOff
              << " listening=" << report.isListening << " responded=" << report.hasResponded
              << " started_at=" << report.startedAt << " expected=" << check.startedAt
              << " parts=" << joinParts(check.parts);
}

} // namespace egretmount::node
