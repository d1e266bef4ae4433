#pragma once

#include <memory>
#include <unordered_map>

#include <egretmount/fleet/configuration.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/instance/settings.h>
#include <egretmount/placement/load_tracker.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/documents.h"

namespace egretmount::node {

/// @brief What an instance keeps although a listing of the store lacks it or states otherwise.
struct RestoredListing
{
    std::size_t targetsKept = 0; ///< Usable although not listed.
    std::size_t targetsWithheld = 0; ///< Listed, but removed before.
    std::size_t evacuationsKept = 0;
    std::size_t evacuationsWithheld = 0;
    ConfigVersion configurationInForce = 0;
    ConfigVersion configurationInRegistry = 0;
};

/// @brief This instance's view of the fleet: settings, configuration and targets.
class FleetService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "fleet";

    FleetService(net::Reactor &reactor, instance::Settings settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    const instance::Settings &settings() const { return m_settings; }
    void setSettings(instance::Settings settings);

    /// @brief Returns the configuration in force, or null until the first one has arrived.
    const std::shared_ptr<const fleet::Configuration> &configuration() const
    {
        return m_configuration;
    }

    /// @brief Returns the version of the configuration in force, or zero if there is none or if the
    ///        store has lost it and the operators have not written it again.
    ConfigVersion confirmedConfigurationVersion() const;

    const fleet::TargetTable &table() const { return m_table; }

    /// @brief Returns the target with the given key, or null if it is unknown.
    const fleet::Target *findTarget(placement::EngineKey key) const;

    /// @brief Returns the number of targets that serve prompts.
    std::size_t engineCount() const;

    /// @brief Applies changes of the platform's store, in order.
    /// @param age Time for which they may have been unknown to this instance.
    void applyChanges(const std::vector<platform::RegistryChange> &changes, Milliseconds age);

    /// @brief Applies a complete listing of the platform's store.
    ///
    /// Targets and evacuated zones that the listing does not contain are treated as removed.
    /// @param age Time for which removals may have been unknown to this instance.
    RestoredListing applyListing(const std::vector<platform::RegistryChange> &changes,
                                 Milliseconds age);

    /// @brief Announces that the next listing comes from a store that was restored from an older
    ///        copy; see `fleet::applyListing`.
    void onRegistryRestored() { fleet::markRestored(m_table, m_reactor.now()); }

    /// @brief Records that this or another instance has reached the store.
    void onRegistryContact(Milliseconds at) { fleet::recordContact(m_table.contact, at); }

    /// @brief Records that a call of this instance to the store has failed.
    /// @param since When the store was last known to respond.
    void onRegistryLost(Milliseconds since) { fleet::recordLoss(m_table.contact, since); }

    /// @brief Records that a call of this instance to the store has succeeded. Targets whose
    ///        entries may have expired in the absence before it get time to register again.
    void onRegistryReturned();

    /// @brief Records an absence of the store that another instance reports.
    void onReportedAbsence(const std::string &host, const fleet::RegistryAbsence &absence);

    /// @brief Records that the store came back from an older copy, which may lack any entry.
    void onEntriesLost(Milliseconds at) { fleet::recordRestoration(m_table.contact, at); }

    /// @brief Registers a listener that is called when a target has restarted or is gone.
    void onTargetEnded(std::function<void(const TargetId &)> listener)
    {
        m_endListeners.push_back(std::move(listener));
    }

    /// @brief Registers a listener that is called once, when the first configuration is in force
    ///        and the targets are known.
    void onConfigured(std::function<void()> listener)
    {
        m_configurationListeners.push_back(std::move(listener));
    }

private:
    void apply(const platform::RegistryChange &change, Milliseconds age);
    void applyConfiguration(fleet::Configuration configuration);
    void applyEvacuation(const platform::EvacuationChanged &change);
    void applyEntry(const fleet::TargetEntry &entry);
    void applyRemoval(const platform::TargetRemoved &removal, Milliseconds age);
    void applyBounds();
    void notifyEnded(const TargetId &id);
    void settleRestored();
    void reportMissingConfiguration();

    net::Reactor &m_reactor;
    instance::Settings m_settings;
    std::shared_ptr<const fleet::Configuration> m_configuration;
    fleet::ConfigurationStatus m_configurationStatus;
    bool m_hasReportedMissing = false; ///< Of the configuration that the store lacks now.
    fleet::TargetTable m_table;
    std::unordered_map<placement::EngineKey, TargetId> m_idsByKey;
    std::vector<std::function<void(const TargetId &)>> m_endListeners;
    std::vector<std::function<void()>> m_configurationListeners;
};

/// @brief Returns the key that identifies a target in placements and peer messages.
placement::EngineKey keyOf(const TargetId &id);

} // namespace egretmount::node
