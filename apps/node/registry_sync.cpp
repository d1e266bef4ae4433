#include "registry_sync.h"

#include <algorithm>
#include <limits>

#include <glog/logging.h>

#include <egretmount/core/hash.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "registry_snapshots.h"

namespace egretmount::node {

namespace {

// Maximum wait of one watch call. A store that stops responding during a watch is detected within
// this time plus the call's time-out, which is early enough for the bound on applying a
// configuration after an outage.
constexpr Milliseconds watchTimeout = Milliseconds(2'500);

// Changes come in bursts, so a short delay before the next watch batches them into one response.
// The delay grows with the number of watchers because all of them call after each change.
constexpr Milliseconds watchDelayPerWatcher = Milliseconds(15);

// How often an instance checks whether it should call the store.
constexpr Milliseconds callCheckInterval = Milliseconds(100);

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
    const instance::Settings &settings = m_fleet->settings();
    m_state.startedAt = m_lastResponseAt = m_reactor.now();
    m_state.randomBits = stableHash(settings.host);
    m_state.isContact =
        std::count(settings.contacts.begin(), settings.contacts.end(), settings.host) > 0;
    MetricsService &metrics = m_registry.find<MetricsService>();
    metrics.addGauge("registry_calls", [this] { return static_cast<double>(m_calls); });
    metrics.addGauge("registry_peer_fetches",
                     [this] { return static_cast<double>(m_peerFetches); });
    m_reactor.every(callCheckInterval, [this] { callIfDue(); });
    callIfDue();
}

Milliseconds RegistrySync::confirmationAge() const
{
    constexpr Milliseconds never(std::numeric_limits<std::int64_t>::max());
    return m_state.hasContents ? m_reactor.now() - m_state.confirmedAt : never;
}

void RegistrySync::callIfDue()
{
    if (m_isCalling || m_reactor.now() < m_noCallBefore)
        return;
    updateState();
    if (!membership::shouldCallRegistry(m_state, m_reactor.now()))
        return;
    m_isCalling = true;
    ++m_calls;
    m_state.calledAt = m_reactor.now();
    if (m_needsListing)
        list();
    else
        watch();
}

void RegistrySync::updateState()
{
    const std::vector<InstanceId> &living = m_peers->living();
    m_state.isWatcher = membership::isRegistryWatcher(InstanceId(m_fleet->settings().host), living);
    m_state.hasContents = m_revision != 0;
    m_state.instances = living.size();
}

void RegistrySync::callAfter(Milliseconds delay)
{
    m_noCallBefore = m_reactor.now() + delay;
    m_reactor.after(delay, [this] { callIfDue(); });
}

void RegistrySync::onPeerRevision(const std::string &host, platform::Revision revision,
                                  Milliseconds confirmedAt)
{
    if (revision == 0)
        return;
    if (m_revision == 0) {
        m_snapshots->fetchFrom(host,
                               [this](const platform::RegistryPage &page) { applyListing(page); });
        return;
    }
    if (revision <= m_revision) {
        if (revision == m_revision)
            m_state.confirmedAt = std::max(m_state.confirmedAt, confirmedAt);
        return;
    }
    if (m_state.behindSince == Milliseconds())
        m_state.behindSince = m_reactor.now();
    const bool isWatchWorking = m_state.isWatcher && m_failures == 0;
    if (isWatchWorking)
        restartStaleWatch(revision);
    else if (m_reactor.now() - m_state.behindSince >= membership::changeSourceTimeout
             || membership::changeSource(InstanceId(m_fleet->settings().host), m_peers->living())
                    == InstanceId(host))
        fetchChanges(host);
}

void RegistrySync::restartStaleWatch(platform::Revision revision)
{
    const Milliseconds behindSince = std::max(m_state.behindSince, m_state.calledAt);
    if (!m_isWatching || m_reactor.now() - behindSince <= staleWatchTimeout)
        return;
    LOG(WARNING) << "registry: restarting stale watch revision=" << m_revision
                 << " seen=" << revision;
    m_client.cancel();
}

void RegistrySync::fetchChanges(const std::string &host)
{
    if (m_snapshots->isFetching())
        return;
    ++m_peerFetches;
    m_snapshots->fetchChanges(
        host, m_revision,
        [this, host](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
            onPeerChanges(host, std::move(page));
        });
}

void RegistrySync::onPeerChanges(const std::string &host,
                                 tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    if (page) {
        LOG(INFO) << "registry: changes received from=" << host << " revision=" << page->revision
                  << " items=" << page->items.size();
        applyChanges(*page);
        return;
    }
    LOG(INFO) << "registry: changes not received from=" << host
              << " reason=" << nameOf(page.error()) << " revision=" << m_revision;
    if (page.error() != platform::StoreFailure::HistoryCompacted)
        return; // the next message that announces a revision leads to another attempt
    m_reactor.defer([this, host] {
        m_snapshots->fetchFrom(host,
                               [this](const platform::RegistryPage &all) { applyListing(all); });
    });
}

void RegistrySync::applyListing(const platform::RegistryPage &page)
{
    if (page.revision <= m_revision)
        return; // the store or another instance has responded in the meantime
    m_fleet->applyListing(page.changes);
    m_snapshots->own().applyListing(page.items, page.revision);
    m_revision = page.revision;
    m_state.behindSince = Milliseconds();
    m_state.hasContents = true;
    m_state.confirmedAt = m_reactor.now();
    m_needsListing = false;
    m_peers->announceRevision();
}

void RegistrySync::applyChanges(const platform::RegistryPage &page)
{
    // A page that was requested before a later one arrived would undo changes.
    if (page.revision <= m_revision)
        return;
    m_fleet->applyChanges(page.changes);
    m_snapshots->own().applyChanges(page.items, page.revision);
    m_revision = page.revision;
    m_state.behindSince = Milliseconds();
    m_peers->announceRevision();
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
        ++m_calls;
        m_client.list(page->lastKey,
                      [this](tl::expected<platform::RegistryPage, platform::StoreFailure> next) {
                          onListingPage(std::move(next));
                      });
        return;
    }
    onSuccess();
    applyListing(m_pendingListing);
    m_needsListing = false;
    m_pendingListing = {};
    callIfDue();
}

void RegistrySync::watch()
{
    m_isWatching = true;
    // While the store fails, a call without a wait detects its recovery fastest.
    const bool isLong = m_state.isWatcher && m_failures == 0;
    m_client.watch(m_revision, isLong ? watchTimeout : Milliseconds(),
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
    if (page->revision >= m_revision)
        m_state.confirmedAt = m_reactor.now();
    const bool hasChanges = !page->changes.empty();
    applyChanges(*page);
    if (hasChanges)
        callAfter(watchDelay());
    else
        callIfDue();
}

Milliseconds RegistrySync::watchDelay() const
{
    const std::size_t watchers = std::min(m_peers->livingCount(), membership::maxRegistryWatchers);
    return watchDelayPerWatcher * static_cast<std::int64_t>(watchers);
}

void RegistrySync::onFailure(platform::StoreFailure failure)
{
    m_isCalling = false;
    if (failure == platform::StoreFailure::HistoryCompacted) {
        LOG(WARNING) << "registry: history compacted, relisting revision=" << m_revision;
        m_needsListing = true;
        callAfter(Milliseconds());
        return;
    }
    if (m_failures == 0)
        LOG(WARNING) << "registry: store unavailable reason=" << nameOf(failure)
                     << " revision=" << m_revision;
    ++m_failures;
    const Milliseconds maxDelay = m_revision == 0 ? maxRetryDelayBeforeFirstSync : maxRetryDelay;
    callAfter(std::min(initialRetryDelay * std::min(m_failures, 4), maxDelay));
}

void RegistrySync::onSuccess()
{
    m_isCalling = false;
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
