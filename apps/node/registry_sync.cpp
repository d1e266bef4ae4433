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

// The store responds within this time, also when it is slow, plus the wait of a watch. A later
// response comes from a store that was away.
constexpr Milliseconds slowResponseTime = Milliseconds(300);

// Time that a change takes from a watcher to another instance, over two hops.
constexpr Milliseconds relayTime = Milliseconds(200);

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
    m_state.startedAt = m_completeAt = m_reactor.now();
    m_state.randomBits = stableHash(settings.host);
    m_state.isContact =
        std::count(settings.contacts.begin(), settings.contacts.end(), settings.host) > 0;
    MetricsService &metrics = m_registry.find<MetricsService>();
    metrics.addGauge("registry_calls", [this] { return static_cast<double>(m_calls); });
    metrics.addGauge("registry_peer_fetches",
                     [this] { return static_cast<double>(m_peerFetches); });
    metrics.addGauge("registry_era_changes", [this] { return static_cast<double>(m_eraChanges); });
    metrics.addGauge("registry_era", [this] { return static_cast<double>(m_version.era); });
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
    m_state.calledAt = m_requestedAt = m_reactor.now();
    m_callWait = Milliseconds();
    if (m_needsListing || isEraBehind())
        list();
    else
        watch();
}

void RegistrySync::updateState()
{
    const std::vector<InstanceId> &living = m_peers->living();
    m_state.isWatcher = membership::isRegistryWatcher(InstanceId(m_fleet->settings().host), living,
                                                      m_peers->capacitiesInUse());
    m_state.hasContents = !m_version.isEmpty();
    m_state.isEraBehind = isEraBehind();
    m_state.instances = living.size();
}

void RegistrySync::callAfter(Milliseconds delay)
{
    m_noCallBefore = m_reactor.now() + delay;
    m_reactor.after(delay, [this] { callIfDue(); });
}

void RegistrySync::noteEra(std::int64_t era)
{
    if (era <= m_latestEra)
        return;
    m_latestEra = era;
    if (isEraBehind())
        m_state.behindSince = m_reactor.now();
}

void RegistrySync::onPeerVersion(const std::string &host, const platform::RegistryVersion &version,
                                 Milliseconds confirmedAt)
{
    switch (membership::useOfAnnouncement(m_version, version)) {
    case membership::AnnouncementUse::Ignore:
        return;
    case membership::AnnouncementUse::Confirm:
        m_state.confirmedAt = std::max(m_state.confirmedAt, confirmedAt);
        return;
    case membership::AnnouncementUse::FetchChanges:
    case membership::AnnouncementUse::FetchContents:
        break;
    }
    noteEra(version.era);
    if (m_version.isEmpty()) {
        fetchFirstContents(host);
        return;
    }
    if (m_state.behindSince == Milliseconds())
        m_state.behindSince = m_reactor.now();
    const bool isWatchWorking = m_state.isWatcher && m_failures == 0;
    const bool mayFetch = m_reactor.now() - m_state.behindSince >= membership::changeSourceTimeout
                          || membership::changeSource(InstanceId(m_fleet->settings().host),
                                                      m_peers->living(), m_peers->capacitiesInUse())
                                 == InstanceId(host);
    if (isWatchWorking && isEraBehind())
        endWatchOfLostEra(version);
    else if (isWatchWorking)
        restartStaleWatch(version);
    else if (mayFetch && version.era > m_version.era)
        fetchContents(host);
    else if (mayFetch)
        fetchChanges(host);
}

void RegistrySync::restartStaleWatch(const platform::RegistryVersion &seen)
{
    const Milliseconds behindSince = std::max(m_state.behindSince, m_state.calledAt);
    if (!m_isWatching || m_reactor.now() - behindSince <= staleWatchTimeout)
        return;
    LOG(WARNING) << "registry: restarting stale watch version=" << m_version << " seen=" << seen;
    m_client.cancel();
}

void RegistrySync::endWatchOfLostEra(const platform::RegistryVersion &seen)
{
    if (!m_isWatching)
        return;
    LOG(INFO) << "registry: ending watch of a lost era version=" << m_version << " seen=" << seen;
    m_isEndingWatch = true;
    m_client.cancel();
    m_isEndingWatch = false;
}

void RegistrySync::fetchFirstContents(const std::string &host)
{
    const Milliseconds now = m_reactor.now();
    if (m_firstOfferAt == Milliseconds())
        m_firstOfferAt = now;
    if (membership::mayFetchContents(InstanceId(m_fleet->settings().host), InstanceId(host),
                                     m_peers->living(), m_peers->capacitiesInUse(), m_firstOfferAt,
                                     now))
        fetchContents(host);
}

void RegistrySync::fetchContents(const std::string &host)
{
    m_snapshots->fetchFrom(
        host, [this, host](const platform::RegistryPage &page) { applyListing(page, host); });
}

void RegistrySync::fetchChanges(const std::string &host)
{
    if (m_snapshots->isFetching())
        return;
    ++m_peerFetches;
    m_snapshots->fetchChanges(
        host, m_version,
        [this, host,
         after = m_version](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
            onPeerChanges(host, after, std::move(page));
        });
}

void RegistrySync::onPeerChanges(const std::string &host, const platform::RegistryVersion &after,
                                 tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    if (page) {
        LOG(INFO) << "registry: changes received from=" << host << " version=" << page->version
                  << " items=" << page->items.size();
        // A later era that the peer has reached since leads to a fetch of its contents when the
        // peer announces it.
        const bool isBehind = m_state.behindSince != Milliseconds();
        const Milliseconds knownAt = isBehind ? m_state.behindSince : m_reactor.now();
        applyChanges(after, *page, m_reactor.now() - knownAt + relayTime);
        return;
    }
    LOG(INFO) << "registry: changes not received from=" << host
              << " reason=" << nameOf(page.error()) << " version=" << m_version;
    if (page.error() != platform::StoreFailure::HistoryCompacted)
        return; // the next message that announces a version leads to another attempt
    m_reactor.defer([this, host] { fetchContents(host); });
}

void RegistrySync::applyListing(const platform::RegistryPage &page, const std::string &source)
{
    noteEra(page.version.era);
    if (page.version <= m_version)
        return; // the store or another instance has responded in the meantime
    if (!m_version.isEmpty() && page.version.era > m_version.era)
        applyRestoredListing(page, source);
    else
        m_fleet->applyListing(page.changes, copyAge());
    m_snapshots->own().applyListing(page.items, page.version);
    m_state.hasContents = true;
    m_state.confirmedAt = m_reactor.now();
    m_needsListing = false;
    onApplied(page.version);
}

void RegistrySync::applyRestoredListing(const platform::RegistryPage &page,
                                        const std::string &source)
{
    ++m_eraChanges;
    // A peer has announced when the store came back; the grace periods count from then.
    if (source.empty())
        m_fleet->onEntriesLost(m_reactor.now());
    m_fleet->onRegistryRestored();
    const RestoredListing restored = m_fleet->applyListing(page.changes, copyAge());
    LOG(WARNING) << "registry: store era changed old=" << m_version << " new=" << page.version
                 << " from=" << (source.empty() ? "store" : source)
                 << " targets_kept=" << restored.targetsKept
                 << " targets_withheld=" << restored.targetsWithheld
                 << " evacuations_kept=" << restored.evacuationsKept
                 << " evacuations_withheld=" << restored.evacuationsWithheld
                 << " configuration=" << restored.configurationInForce
                 << " store_configuration=" << restored.configurationInRegistry;
}

membership::ChangesUse RegistrySync::applyChanges(const platform::RegistryVersion &after,
                                                  const platform::RegistryPage &page,
                                                  Milliseconds age)
{
    const membership::ChangesUse use = membership::useOfChanges(m_version, after, page.version);
    noteEra(page.version.era);
    if (use != membership::ChangesUse::Apply)
        return use;
    m_fleet->applyChanges(page.changes, age);
    m_snapshots->own().applyChanges(page.items, page.version);
    onApplied(page.version);
    return use;
}

void RegistrySync::onApplied(const platform::RegistryVersion &version)
{
    m_version = version;
    if (!isEraBehind())
        m_state.behindSince = Milliseconds();
    m_peers->announceRegistryVersion();
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
    if (m_pendingListing.version.isEmpty())
        m_pendingListing.version = page->version;
    if (page->version.era != m_pendingListing.version.era) {
        LOG(WARNING) << "registry: store era changed during a listing, listing again first="
                     << m_pendingListing.version << " page=" << page->version;
        noteEra(page->version.era);
        onSuccess();
        m_needsListing = true;
        callAfter(initialRetryDelay);
        return;
    }
    for (platform::RegistryChange &change : page->changes)
        m_pendingListing.changes.push_back(std::move(change));
    for (platform::RegistryItem &item : page->items)
        m_pendingListing.items.push_back(std::move(item));
    if (page->hasMore && !page->lastKey.empty()) {
        ++m_calls;
        m_requestedAt = m_reactor.now();
        m_client.list(page->lastKey,
                      [this](tl::expected<platform::RegistryPage, platform::StoreFailure> next) {
                          onListingPage(std::move(next));
                      });
        return;
    }
    onSuccess();
    applyListing(m_pendingListing, {});
    m_completeAt = m_state.calledAt; // the pages are not of one moment
    const bool isOutdated = m_pendingListing.version < m_version;
    m_needsListing = false;
    m_pendingListing = {};
    if (isOutdated)
        callAfter(initialRetryDelay);
    else
        callIfDue();
}

void RegistrySync::watch()
{
    m_isWatching = true;
    // While the store fails, a call without a wait detects its recovery fastest.
    const bool isLong = m_state.isWatcher && m_failures == 0;
    m_callWait = isLong ? watchTimeout : Milliseconds();
    m_client.watch(m_version.revision, m_callWait,
                   [this, after = m_version](
                       tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
                       onChanges(after, std::move(page));
                   });
}

void RegistrySync::onChanges(const platform::RegistryVersion &after,
                             tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    m_isWatching = false;
    if (m_isEndingWatch) {
        m_isCalling = false;
        callAfter(Milliseconds());
        return;
    }
    if (!page) {
        onFailure(page.error());
        return;
    }
    // A watch that has waited responds to a change at once; the changes that one without a wait
    // returns may have come at any time since the last response.
    const Milliseconds age = hasWaited() && !isLate() ? Milliseconds() : copyAge();
    onSuccess();
    const bool hasChanges = !page->changes.empty();
    const membership::ChangesUse use = applyChanges(after, *page, age);
    m_completeAt = m_reactor.now();
    if (page->version == m_version)
        m_state.confirmedAt = m_reactor.now();
    // Without a delay, a store with an outdated state would be called in a loop.
    if (page->version.era < m_version.era)
        callAfter(initialRetryDelay);
    else if (hasChanges && use != membership::ChangesUse::Reload)
        callAfter(watchDelay());
    else
        callIfDue();
}

Milliseconds RegistrySync::watchDelay() const
{
    const std::size_t watchers = std::min(m_peers->livingCount(), membership::maxRegistryWatchers);
    return watchDelayPerWatcher * static_cast<std::int64_t>(watchers);
}

Milliseconds RegistrySync::copyAge() const
{
    return m_reactor.now() - std::max(m_completeAt, m_state.confirmedAt);
}

bool RegistrySync::hasWaited() const
{
    return m_reactor.now() - m_requestedAt >= slowResponseTime;
}

bool RegistrySync::isLate() const
{
    return m_reactor.now() - m_requestedAt >= m_callWait + slowResponseTime;
}

void RegistrySync::noteReturn()
{
    if (m_failures == 0 && isLate()) {
        LOG(INFO) << "registry: late response called_ms="
                  << (m_reactor.now() - m_requestedAt).count() << " wait_ms=" << m_callWait.count();
        m_fleet->onRegistryLost(m_lastResponseAt);
    }
    m_fleet->onRegistryReturned();
}

void RegistrySync::onFailure(platform::StoreFailure failure)
{
    m_isCalling = false;
    if (failure == platform::StoreFailure::HistoryCompacted) {
        LOG(WARNING) << "registry: history compacted, relisting version=" << m_version;
        noteReturn();
        m_needsListing = true;
        callAfter(Milliseconds());
        return;
    }
    // A store that ends a call for which it has waited was there until then. Otherwise, it may have
    // been away since its last response.
    const bool wasThere = failure != platform::StoreFailure::Unreachable && hasWaited();
    if (m_failures == 0) {
        LOG(WARNING) << "registry: store unavailable reason=" << nameOf(failure)
                     << " version=" << m_version
                     << " called_ms=" << (m_reactor.now() - m_requestedAt).count();
        const Milliseconds lostAt = wasThere ? m_reactor.now() : m_lastResponseAt;
        m_fleet->onRegistryLost(lostAt);
        m_completeAt = std::max(m_completeAt, lostAt);
    }
    ++m_failures;
    const Milliseconds maxDelay =
        m_version.isEmpty() ? maxRetryDelayBeforeFirstSync : maxRetryDelay;
    callAfter(std::min(initialRetryDelay * std::min(m_failures, 4), maxDelay));
}

void RegistrySync::onSuccess()
{
    m_isCalling = false;
    const Milliseconds now = m_reactor.now();
    if (m_failures > 0) {
        LOG(INFO) << "registry: store available again failures=" << m_failures
                  << " away_ms=" << (now - std::max(m_lastResponseAt, m_state.startedAt)).count();
    }
    noteReturn();
    m_failures = 0;
    m_lastResponseAt = now;
}

} // namespace egretmount::node
