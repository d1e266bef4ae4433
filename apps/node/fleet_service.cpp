#include "fleet_service.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>

namespace egretmount::node {

namespace {

// Interval between checks for unlisted targets whose grace period is over, for which
// `fleet::unlistedGrace` leaves a margin.
constexpr Milliseconds unlistedCheckInterval = Milliseconds(100);

} // namespace

placement::EngineKey keyOf(const TargetId &id)
{
    return stableHash(id.value);
}

FleetService::FleetService(net::Reactor &reactor, instance::Settings settings)
    : m_reactor(reactor)
    , m_settings(std::move(settings))
{
    applyBounds();
}

void FleetService::setSettings(instance::Settings settings)
{
    m_settings = std::move(settings);
    applyBounds();
}

void FleetService::applyBounds()
{
    m_table.drainTime = m_settings.drainTime;
    m_table.contact.heartbeatInterval = m_settings.heartbeatInterval;
}

void FleetService::start()
{
    m_reactor.every(unlistedCheckInterval, [this] {
        for (const TargetId &id : fleet::removeUnlisted(m_table, m_reactor.now())) {
            LOG(INFO) << "fleet: unlisted target removed target=" << id.value;
            notifyEnded(id);
        }
        settleRestored();
        reportMissingConfiguration();
    });
}

void FleetService::settleRestored()
{
    const fleet::SettledChanges settled = fleet::settleRestored(m_table, m_reactor.now());
    for (const TargetId &id : settled.applied) {
        LOG(INFO) << "fleet: withheld target applied target=" << id.value;
        m_idsByKey[keyOf(id)] = id;
        notifyEnded(id);
    }
    for (const ZoneId &zone : settled.evacuated)
        LOG(INFO) << "fleet: withheld evacuation applied zone=" << zone.value;
    for (const ZoneId &zone : settled.released)
        LOG(WARNING) << "fleet: evacuation dropped, not written again zone=" << zone.value
                     << " waited_ms=" << fleet::operatorGrace.count();
}

void FleetService::reportMissingConfiguration()
{
    const bool isMissing = m_configuration && confirmedConfigurationVersion() == 0;
    if (isMissing && !m_hasReportedMissing)
        LOG(ERROR) << "fleet: configuration not in the store and not written again version="
                   << m_configurationStatus.inForce
                   << " store_version=" << m_configurationStatus.inRegistry
                   << " waited_ms=" << fleet::operatorGrace.count();
    m_hasReportedMissing = isMissing;
}

ConfigVersion FleetService::confirmedConfigurationVersion() const
{
    return fleet::confirmedVersion(m_configurationStatus, fleet::operatorGrace, m_reactor.now());
}

const fleet::Target *FleetService::findTarget(placement::EngineKey key) const
{
    const auto id = m_idsByKey.find(key);
    if (id == m_idsByKey.end())
        return nullptr;
    const auto target = m_table.targets.find(id->second);
    return target == m_table.targets.end() ? nullptr : &target->second;
}

std::size_t FleetService::engineCount() const
{
    if (!m_configuration)
        return 0;
    return static_cast<std::size_t>(
        std::count_if(m_table.targets.begin(), m_table.targets.end(), [this](const auto &entry) {
            const fleet::ServiceSpec *service =
                fleet::findService(*m_configuration, entry.second.entry.service);
            return service != nullptr && service->engine.has_value();
        }));
}

void FleetService::applyChanges(const std::vector<platform::RegistryChange> &changes,
                                Milliseconds age)
{
    for (const platform::RegistryChange &change : changes)
        apply(change, age);
}

void FleetService::apply(const platform::RegistryChange &change, Milliseconds age)
{
    if (const platform::TargetWritten *written = std::get_if<platform::TargetWritten>(&change))
        applyEntry(written->entry);
    else if (const platform::TargetRemoved *removed = std::get_if<platform::TargetRemoved>(&change))
        applyRemoval(*removed, age);
    else if (const platform::ConfigurationWritten *configured =
                 std::get_if<platform::ConfigurationWritten>(&change))
        applyConfiguration(configured->configuration);
    else if (const platform::ConfigurationUnreadable *unreadable =
                 std::get_if<platform::ConfigurationUnreadable>(&change))
        LOG(ERROR) << "fleet: configuration ignored reason=\"" << unreadable->reason << '"';
    else if (const platform::EvacuationChanged *evacuation =
                 std::get_if<platform::EvacuationChanged>(&change))
        applyEvacuation(*evacuation);
}

RestoredListing FleetService::applyListing(const std::vector<platform::RegistryChange> &changes,
                                           Milliseconds age)
{
    bool hasConfiguration = false;
    std::vector<fleet::TargetEntry> entries;
    std::set<ZoneId> evacuated;
    for (const platform::RegistryChange &change : changes) {
        if (const platform::TargetWritten *written = std::get_if<platform::TargetWritten>(&change))
            entries.push_back(written->entry);
        else if (const platform::EvacuationChanged *evacuation =
                     std::get_if<platform::EvacuationChanged>(&change))
            evacuated.insert(evacuation->zone);
        else
            apply(change, age);
        hasConfiguration |= std::holds_alternative<platform::ConfigurationWritten>(change);
    }
    if (!hasConfiguration)
        fleet::recordRegistryVersion(m_configurationStatus, 0, m_reactor.now());
    for (const TargetId &id : fleet::applyListing(m_table, entries, m_reactor.now(), age)) {
        LOG(INFO) << "fleet: target missing from listing target=" << id.value;
        notifyEnded(id);
    }
    for (const fleet::TargetEntry &entry : entries)
        m_idsByKey[keyOf(entry.id)] = entry.id;
    fleet::applyEvacuationListing(m_table, evacuated, m_reactor.now());
    LOG(INFO) << "fleet: listed targets=" << m_table.targets.size()
              << " evacuated_zones=" << m_table.evacuated.size();
    RestoredListing restored;
    restored.targetsKept = static_cast<std::size_t>(
        std::count_if(m_table.targets.begin(), m_table.targets.end(),
                      [](const auto &entry) { return entry.second.isUnlisted; }));
    restored.targetsWithheld = m_table.withheld.size();
    restored.evacuationsKept = m_table.keptEvacuations.size();
    restored.evacuationsWithheld = m_table.withheldEvacuations.size();
    restored.configurationInForce = m_configurationStatus.inForce;
    restored.configurationInRegistry = m_configurationStatus.inRegistry;
    return restored;
}

void FleetService::onRegistryReturned()
{
    const std::optional<fleet::RegistryAbsence> absence =
        fleet::recordReturn(m_table.contact, m_reactor.now());
    if (absence)
        LOG(INFO) << "fleet: entries may have expired absent_ms="
                  << (absence->until - absence->from).count()
                  << " keep_ms=" << fleet::reregistrationTime.count() << " from=store";
}

void FleetService::onReportedAbsence(const std::string &host, const fleet::RegistryAbsence &absence)
{
    if (fleet::recordReportedAbsence(m_table.contact, absence))
        LOG(INFO) << "fleet: entries may have expired absent_ms="
                  << (absence.until - absence.from).count()
                  << " age_ms=" << (m_reactor.now() - absence.until).count() << " from=" << host;
}

void FleetService::applyConfiguration(fleet::Configuration configuration)
{
    const bool isNewer =
        fleet::recordRegistryVersion(m_configurationStatus, configuration.version, m_reactor.now());
    if (m_configuration && !isNewer) {
        LOG(INFO) << "fleet: older configuration ignored version=" << configuration.version
                  << " in_force=" << m_configuration->version;
        return;
    }
    LOG(INFO) << "fleet: configuration in force version=" << configuration.version
              << " routes=" << configuration.routes.size()
              << " services=" << configuration.services.size()
              << " keys=" << configuration.teamsByKey.size();
    const bool isFirst = !m_configuration;
    m_configuration = std::make_shared<const fleet::Configuration>(std::move(configuration));
    if (!isFirst)
        return;
    // The listeners run after the targets of the same listing have been applied.
    m_reactor.defer([this] {
        for (const std::function<void()> &listener : m_configurationListeners)
            listener();
    });
}

void FleetService::applyEvacuation(const platform::EvacuationChanged &change)
{
    LOG(INFO) << "fleet: evacuation zone=" << change.zone.value
              << " evacuated=" << change.isEvacuated;
    fleet::applyEvacuation(m_table, change.zone, change.isEvacuated, m_reactor.now());
}

void FleetService::applyEntry(const fleet::TargetEntry &entry)
{
    const bool isNewRun = fleet::applyEntry(m_table, entry, m_reactor.now());
    m_idsByKey[keyOf(entry.id)] = entry.id;
    LOG(INFO) << "fleet: target target=" << entry.id.value << " service=" << entry.service.value
              << " zone=" << entry.zone.value << " new_run=" << isNewRun
              << " draining=" << entry.isDraining << " cold_ms=" << entry.coldLeft.count();
    if (isNewRun)
        notifyEnded(entry.id);
}

void FleetService::applyRemoval(const platform::TargetRemoved &removal, Milliseconds age)
{
    const bool isGone = fleet::applyRemoval(m_table, removal.id, m_reactor.now(), age);
    const auto kept = m_table.targets.find(removal.id);
    const bool isKept = kept != m_table.targets.end();
    LOG(INFO) << "fleet: target removed target=" << removal.id.value << " kept=" << isKept
              << " age_ms=" << age.count() << " may_have_expired="
              << (isKept
                  && fleet::returnLimit(m_table.contact, kept->second.unlistedAt).has_value())
              << " unreadable=" << removal.isUnreadable;
    if (isGone)
        notifyEnded(removal.id);
}

void FleetService::notifyEnded(const TargetId &id)
{
    for (const std::function<void(const TargetId &)> &listener : m_endListeners)
        listener(id);
}

} // namespace egretmount::node
