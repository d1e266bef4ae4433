#include "registry_sync.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>

#include "fleet_service.h"
#include "peer_service.h"
#include "registry_snapshots.h"

namespace egretmount::node {

namespace {

// Maximum wait of one watch call. A store that stops responding during a watch is detected within
// this time plus the call's time-out, which is early enough for the bound on applying a
// configuration after an outage.
constexpr Milliseconds shortWatchTimeout = Milliseconds(2'500);

// With many instances, only `shortWatcherCount` of them use the short wait; the others use a long
// one. Every peer message carries the sender's registry revision, so an instance that is behind
// notices it and restarts its watch.
constexpr Milliseconds longWatchTimeout = Milliseconds(12'000);
constexpr std::size_t shortWatcherCount = 5;

// Changes come in bursts, so a short delay before the next watch batches them into one response.
// The delay grows with the number of instances because all of them call after each change.
constexpr Milliseconds watchDelayPerInstance = Milliseconds(15);
constexpr Milliseconds maxWatchDelay = Milliseconds(400);

// Delays between attempts while the store fails.
constexpr Milliseconds initialRetryDelay = Milliseconds(150);
constexpr Milliseconds maxRetryDelay = Milliseconds(600);
// Shorter, because all requests are refused until the first synchronization, which costs more than
// a few extra calls.
constexpr Milliseconds maxRetryDelayBeforeFirstSync = Milliseconds(300);

// A watch is restarted if it does not deliver a change within this time after another instance is
// known to have it.
constexpr Milliseconds staleWatchTimeout = Milliseconds(700);

} // namespace

RegistrySync::RegistrySync(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                           const std::string &address)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_client(reactor, address)
{ }

void RegistrySync::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_snapshots = &m_registry.find<RegistrySnapshots>();
    m_lastResponseAt = m_reactor.now();
    list();
}

void RegistrySync::onPeerRevision(const std::string &host, platform::Revision revision)
{
    const Milliseconds now = m_reactor.now();
    if (m_revision == 0 && revision > 0) {
        m_snapshots->fetchFrom(host,
                               [this](const platform::RegistryPage &page) { onSnapshot(page); });
        return;
    }
    if (revision <= m_revision || m_needsListing) {
        m_behindSince = Milliseconds();
        return;
    }
    if (m_behindSince == Milliseconds())
        m_behindSince = now;
    const bool isStale = m_isWatching && m_failures == 0
                         && now - std::max(m_behindSince, m_watchStartedAt) > staleWatchTimeout;
    if (!isStale)
        return;
    m_behindSince = Milliseconds();
    LOG(WARNING) << "registry: restarting stale watch revision=" << m_revision
                 << " seen=" << revision;
    m_client.cancel();
}

void RegistrySync::onSnapshot(const platform::RegistryPage &page)
{
    if (m_revision != 0)
        return; // the store has responded in the meantime
    m_fleet->applyListing(page.changes);
    m_snapshots->own().applyListing(page.items, page.revision);
    m_revision = page.revision;
    m_needsListing = false;
}

void RegistrySync::list()
{
    m_pendingListing = {};
    m_client.list("", [this](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
        onListingPage(std::move(page));
    });
}

void RegistrySync::onListingPage(tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    if (!page) {
        onFailure(page.error());
        return;
    }
    // The pages of a listing may have different revisions. Watching from the revision of the first
    // page repeats some changes but misses none.
    if (m_pendingListing.revision == 0)
        m_pendingListing.revision = page->revision;
    for (platform::RegistryChange &change : page->changes)
        m_pendingListing.changes.push_back(std::move(change));
    for (platform::RegistryItem &item : page->items)
        m_pendingListing.items.push_back(std::move(item));
    if (page->hasMore && !page->lastKey.empty()) {
        m_client.list(page->lastKey,
                      [this](tl::expected<platform::RegistryPage, platform::StoreFailure> next) {
                          onListingPage(std::move(next));
                      });
        return;
    }
    onSuccess();
    m_fleet->applyListing(m_pendingListing.changes);
    m_snapshots->own().applyListing(m_pendingListing.items, m_pendingListing.revision);
    m_revision = std::max(m_revision, m_pendingListing.revision);
    m_pendingListing = {};
    m_needsListing = false;
    watch();
}

void RegistrySync::watch()
{
    m_isWatching = true;
    m_watchStartedAt = m_reactor.now();
    // While the store fails, a call without a wait detects its recovery fastest.
    const Milliseconds timeout = m_failures > 0 ? Milliseconds() : watchTimeout();
    m_client.watch(m_revision, timeout,
                   [this](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
                       onChanges(std::move(page));
                   });
}

void RegistrySync::onChanges(tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    m_isWatching = false;
    if (!page) {
        onFailure(page.error());
        return;
    }
    onSuccess();
    m_fleet->applyChanges(page->changes);
    m_snapshots->own().applyChanges(page->items, page->revision);
    m_revision = std::max(m_revision, page->revision);
    if (page->changes.empty()) {
        watch();
        return;
    }
    m_reactor.after(watchDelay(), [this] { watch(); });
}

Milliseconds RegistrySync::watchTimeout() const
{
    const std::vector<InstanceId> &living = m_peers->living();
    const std::uint64_t ownHash = stableHash(m_fleet->settings().host);
    const std::size_t rank = static_cast<std::size_t>(
        std::count_if(living.begin(), living.end(), [&](const InstanceId &instance) {
            return stableHash(instance.value) < ownHash;
        }));
    return rank < shortWatcherCount ? shortWatchTimeout : longWatchTimeout;
}

Milliseconds RegistrySync::watchDelay() const
{
    const std::int64_t instances = static_cast<std::int64_t>(m_peers->livingCount());
    return std::min(watchDelayPerInstance * instances, maxWatchDelay);
}

void RegistrySync::onFailure(platform::StoreFailure failure)
{
    if (failure == platform::StoreFailure::HistoryCompacted) {
        LOG(WARNING) << "registry: history compacted, relisting revision=" << m_revision;
        m_needsListing = true;
        m_reactor.after(Milliseconds(), [this] { list(); });
        return;
    }
    if (m_failures == 0)
        LOG(WARNING) << "registry: store unavailable reason=" << nameOf(failure)
                     << " revision=" << m_revision;
    ++m_failures;
    const Milliseconds maxDelay = m_revision == 0 ? maxRetryDelayBeforeFirstSync : maxRetryDelay;
    const Milliseconds delay = std::min(initialRetryDelay * std::min(m_failures, 4), maxDelay);
    m_reactor.after(delay, [this] { retry(); });
}

void RegistrySync::retry()
{
    if (m_needsListing)
        list();
    else
        watch();
}

void RegistrySync::onSuccess()
{
    if (m_failures > 0) {
        const Milliseconds outage = m_reactor.now() - m_lastResponseAt;
        LOG(INFO) << "registry: store available again failures=" << m_failures
                  << " away_ms=" << outage.count();
        m_fleet->onOutageEnd();
    }
    m_failures = 0;
    m_lastResponseAt = m_reactor.now();
}

} // namespace egretmount::node
