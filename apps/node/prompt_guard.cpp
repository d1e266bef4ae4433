#include "prompt_guard.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/limits/response_end.h>

#include "fleet_service.h"
#include "id_text.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "platform/messages.h"
#include "platform/orders.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// The port of a crashed process refuses connections at once; only a cut-off one takes so long.
constexpr Milliseconds crashCheckTimeout = Milliseconds(400);
constexpr Milliseconds expirySweepInterval = Milliseconds(5'000);
// Snapshots repeat a crash for this long, for instances that have missed its announcement.
constexpr Milliseconds crashRepeatTime = Milliseconds(30'000);
constexpr std::size_t maxAnnounced = 10'000;
// A snapshot is one datagram, which also holds the requests of the instance.
constexpr std::size_t maxCrashesInSnapshot = 16;
constexpr std::size_t maxPartsInSnapshot = 128;

} // namespace

PromptGuard::PromptGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void PromptGuard::start()
{
    m_targets = &m_registry.find<TargetPool>();
    m_peers = &m_registry.find<PeerService>();
    m_metrics = &m_registry.find<MetricsService>();
    m_metrics->addGauge("blocked_prompt_parts",
                        [this] { return static_cast<double>(m_suspects.blocked.size()); });
    m_metrics->addGauge("suspected_target_crashes",
                        [this] { return static_cast<double>(m_suspects.crashes.size()); });
    m_reactor.every(expirySweepInterval, [this] {
        const Milliseconds now = m_reactor.now();
        limits::removeExpired(m_suspects, now);
        while (!m_ownCrashes.empty() && now - m_ownCrashes.front().at >= crashRepeatTime)
            m_ownCrashes.pop_front();
        if (m_announced.size() > maxAnnounced)
            m_announced.clear();
    });
}

void PromptGuard::recordPrompt(const std::string &route, const std::vector<PromptPartId> &parts)
{
    if (!parts.empty())
        limits::recordPrompt(m_suspects, stableHash(route), parts, m_reactor.now());
}

std::optional<Milliseconds> PromptGuard::blockedFor(const std::vector<PromptPartId> &parts) const
{
    return limits::blockedFor(m_suspects, parts, m_reactor.now());
}

bool PromptGuard::isSuspected(const std::vector<PromptPartId> &parts) const
{
    return limits::isSuspected(m_suspects, parts);
}

void PromptGuard::recordSound(const std::vector<PromptPartId> &parts)
{
    const std::vector<PromptPartId> cleared =
        limits::recordSound(m_suspects, parts, m_reactor.now());
    if (cleared.empty())
        return;
    LOG(INFO) << "prompts: parts cleared parts=" << joinIds(cleared) << " from=response";
    for (const PromptPartId part : cleared)
        m_announced.erase(part);
    PromptNews news;
    news.sound = cleared;
    m_peers->broadcastPrompts(news);
}

void PromptGuard::onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                                   std::uint64_t contentId, const std::vector<PromptPartId> &parts)
{
    if (m_targets->turnsAway(target))
        return;
    const std::vector<PromptPartId> unproven = limits::unprovenParts(m_suspects, parts);
    const placement::EngineKey key = keyOf(target.id);
    CrashCheck &check = m_checks[key];
    for (const PromptPartId part : unproven) {
        if (check.parts.size() < limits::maxPartsPerCrash)
            check.parts.insert(part);
    }
    if (check.contentIds.size() < limits::maxPartsPerCrash)
        check.contentIds.insert(contentId);
    if (check.client)
        return;
    check.target = target;
    check.startedAt = startedAt;
    check.askedAt = m_reactor.now();
    check.client = std::make_shared<net::HttpClient>(m_reactor, target.address);
    check.client->setMaxBody(maxReportBytes);
    m_targets->recordCall(target);
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
              << " contents=" << joinIds(check.contentIds) << " parts=" << joinIds(check.parts);
    if (!hasCrashed || check.parts.empty())
        return;
    const limits::TargetCrash crash { key, check.askedAt, check.parts };
    m_ownCrashes.push_back(crash);
    if (m_ownCrashes.size() > limits::maxTargetCrashes)
        m_ownCrashes.pop_front();
    m_announced.insert(crash.parts.begin(), crash.parts.end());
    PromptNews news;
    news.crashes.push_back(crash);
    m_peers->broadcastPrompts(news);
    applyCrash(crash, "self");
}

void PromptGuard::applyCrash(const limits::TargetCrash &crash, const std::string &host)
{
    const Milliseconds now = m_reactor.now();
    const std::vector<PromptPartId> parts(crash.parts.begin(), crash.parts.end());
    const std::size_t knownCrashes = m_suspects.crashes.size();
    const std::vector<PromptPartId> blocked =
        limits::recordCrash(m_suspects, crash.target, parts, crash.at, now);
    if (m_suspects.crashes.size() != knownCrashes) {
        LOG(INFO) << "prompts: crash recorded target=" << crash.target << " from=" << host
                  << " age_ms=" << (now - crash.at).count() << " parts=" << joinIds(parts);
    }
    for (const PromptPartId part : blocked) {
        LOG(WARNING) << "prompts: part blocked part=" << joinIds(std::vector { part })
                     << " crashes=" << limits::crashCount(m_suspects, part)
                     << " last_target=" << crash.target << " from=" << host
                     << " for_ms=" << blockedFor({ part })->count();
    }
    if (blocked.empty())
        return;
    announceBlocked(blocked);
    notifyListeners();
}

void PromptGuard::announceBlocked(const std::vector<PromptPartId> &parts)
{
    PromptNews news;
    for (const PromptPartId part : parts) {
        m_announced.insert(part);
        news.blocked.push_back({ part, m_suspects.blocked.at(part) });
    }
    m_peers->broadcastPrompts(news);
}

void PromptGuard::applyRemote(const std::string &host, const PromptNews &news)
{
    const Milliseconds now = m_reactor.now();
    const std::vector<PromptPartId> cleared = limits::recordSound(m_suspects, news.sound, now);
    if (!cleared.empty())
        LOG(INFO) << "prompts: parts cleared parts=" << joinIds(cleared) << " from=" << host;
    withdraw(cleared);
    // Only to the sender, which passes it on once: many instances may know of the same part.
    PromptNews reply;
    bool hasNewBlock = false;
    for (const PromptNews::BlockedPart &blocked : news.blocked) {
        if (limits::recordBlock(m_suspects, blocked.part, blocked.block, now)) {
            hasNewBlock = true;
            LOG(WARNING) << "prompts: part blocked part=" << joinIds(std::vector { blocked.part })
                         << " from=" << host << " age_ms=" << (now - blocked.block.from).count()
                         << " for_ms=" << (blocked.block.until - now).count();
        } else if (limits::isSound(m_suspects, blocked.part)) {
            reply.sound.push_back(blocked.part);
        }
    }
    for (const limits::TargetCrash &crash : news.crashes) {
        std::copy_if(crash.parts.begin(), crash.parts.end(), std::back_inserter(reply.sound),
                     [&](PromptPartId part) { return limits::isSound(m_suspects, part); });
        applyCrash(crash, host);
    }
    if (!reply.isEmpty())
        m_peers->sendPrompts(host, reply);
    if (hasNewBlock)
        notifyListeners();
}

void PromptGuard::withdraw(const std::vector<PromptPartId> &cleared)
{
    PromptNews news;
    std::copy_if(cleared.begin(), cleared.end(), std::back_inserter(news.sound),
                 [&](PromptPartId part) { return m_announced.erase(part) > 0; });
    if (!news.isEmpty())
        m_peers->broadcastPrompts(news);
}

PromptNews PromptGuard::snapshot() const
{
    PromptNews news;
    const Milliseconds now = m_reactor.now();
    for (const auto &[part, block] : m_suspects.blocked) {
        if (now < block.until)
            news.blocked.push_back({ part, block });
    }
    std::size_t parts = 0;
    for (auto crash = m_ownCrashes.rbegin(); crash != m_ownCrashes.rend(); ++crash) {
        const std::vector<PromptPartId> unproven = limits::unprovenParts(
            m_suspects, std::vector<PromptPartId>(crash->parts.begin(), crash->parts.end()));
        parts += unproven.size();
        if (now - crash->at >= crashRepeatTime || news.crashes.size() >= maxCrashesInSnapshot
            || parts > maxPartsInSnapshot)
            break;
        if (!unproven.empty())
            news.crashes.push_back(
                { crash->target, crash->at, { unproven.begin(), unproven.end() } });
    }
    return news;
}

void PromptGuard::notifyListeners() const
{
    for (const std::function<void()> &listener : m_listeners)
        listener();
}

} // namespace egretmount::node
