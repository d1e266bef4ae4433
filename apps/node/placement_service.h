#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <egretmount/core/names.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/cold_target_limiter.h>
#include <egretmount/placement/admission.h>
#include <egretmount/placement/demand_rate.h>
#include <egretmount/placement/explain.h>
#include <egretmount/placement/load_tracker.h>
#include <egretmount/placement/planner.h>
#include <egretmount/placement/short_admission.h>

#include "kernel/service.h"
#include "memory_reservations.h"
#include "net/reactor.h"

namespace egretmount::node {

class FleetService;
class MetricsService;
class PeerService;
class TargetPool;

/// @brief The target of a request, and its helper engines if it has a prompt.
struct Placement
{
    fleet::TargetEntry target;
    std::vector<TargetId> helpers; ///< Helper engines, which prefill one shard each.
    std::vector<std::string> helperNames; ///< Addresses and reservation names, same order.
    std::vector<MemoryReservation> reservations; ///< Made before the request is sent.
    std::uint64_t entryId = 0; ///< Id in the load tracker; zero for plain services.
    double expectedMs = 0; ///< Time to the first event; zero for plain services.
    double shardPrefillMs = 0; ///< Expected prefill time of each shard of the prompt.
    bool isRelay = false; ///< `target` is another instance, which places the request.
};

/// @brief Where a request that was sent already could be sent instead. Nothing of it is recorded or
///        announced; see `PlacementService::accept`.
struct Proposal
{
    Placement placement; ///< Of a prompt: without a load tracker entry and reservations.
    std::optional<placement::Plan> plan; ///< Of a prompt.
    placement::Demand demand; ///< Of a prompt.
};

/// @brief What the admission of a short request was decided by, for the log.
struct AdmissionSummary
{
    int rank = 0;
    int distance = 0; ///< See `placement::drawnDistance`.
    double usedSlots = 0;
    double slots = 0;
    double deferredAhead = 0;
    double waitMs = 0; ///< Expected time until the deferred requests ahead have a slot.
};

/// @brief A request that waits in the queue, or is deferred.
struct Queued
{
    std::uint64_t entryId = 0; ///< Id in the load tracker; zero if it is deferred.
    Milliseconds pollAfter; ///< Delay before the caller of `placePrompt` tries again.
    std::uint64_t deferralId = 0; ///< To be stated at the next try; zero if it is not deferred.
    AdmissionSummary admission {}; ///< Of a deferral that starts.
};

/// @brief A deferred short request.
struct Deferral
{
    ServiceId service;
    int distance = 0; ///< See `placement::drawnDistance`; it stays the same.
    Milliseconds clientTimeout; ///< From the arrival; later tries state what is left of it.
    Milliseconds pollAfter; ///< Until the next decision.
    AdmissionSummary admission {};
};

/// @brief Why a request was refused.
enum class RefusalReason {
    NoTarget, ///< No usable target of the service is known.
    TurnedAway, ///< All targets of the service turn requests away for a time.
    AllFull, ///< Too few targets have a free slot and enough memory, or accept a long prompt now.
    TooLate, ///< The first event would come after the client timeout.
    Overloaded, ///< Admission control: its prefill would delay others too much for its weight.
    NoneReached, ///< This instance reaches no target, and the request came from another one.
    CrashesTargets, ///< It has crashed targets, or shares a part with prompts that have.
    Congested, ///< More short requests are deferred already than can be placed soon.
    Stopping, ///< It would be deferred, but this instance has been told to stop.
};

/// @brief The result for a request that is not placed.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoTarget;
    Milliseconds retryAfter; ///< When capacity is expected.
    placement::LongPool longPool {}; ///< Input of the admission decision, for the log.
    std::optional<AdmissionSummary> admission {}; ///< Of a short request that was refused by it.
};

/// @brief Why a prompt is queued.
enum class QueueReason {
    NotJoined, ///< This instance has not received the load of the other ones yet.
    PromptsAhead, ///< Other prompts in the queue come first.
    EnginesBusy, ///< Waiting until engines have finished their prefills costs less.
    NoCapacity, ///< No engine has a free slot and enough memory.
};

/// @brief Decision about a prompt that has not been recorded yet.
using PromptDecision = std::variant<placement::Plan, QueueReason, Deferral, Refusal>;

/// @brief What would happen to a prompt that arrived now, and why.
struct PromptExplanation
{
    PromptDecision decision;
    std::optional<Milliseconds> expectedWait; ///< If queued: time until it is placed or refused.
    std::vector<const fleet::Target *> targets; ///< Candidates; valid until the fleet changes.
    std::vector<TargetId> coldLimited; ///< Cold targets at the limit of this instance.
    placement::PlacementExplanation placement; ///< Of `targets`, in the same order.
};

/// @brief Result of a placement: placed, queued or refused.
using Decision = std::variant<Placement, Queued, Refusal>;

/// @brief Selects targets for requests and tracks the placements of all instances.
class PlacementService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "placement";

    PlacementService(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                     placement::LoadPolicyMode loadPolicyMode);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Places or queues a request with a prompt and notifies the other instances.
    /// @param excluded Targets that have already failed this request.
    /// @param timeLeft Time until the request's deadline.
    /// @param entryId Load tracker entry of a queued request; zero if the request was not queued.
    /// @param wasSent True if the request was sent before. It is then placed even if its first
    ///        event will be too late, because a refusal would state that it was not executed.
    Decision placePrompt(const fleet::ServiceSpec &service, placement::Demand demand,
                         const std::set<TargetId> &excluded, Milliseconds timeLeft,
                         std::uint64_t entryId, bool wasSent);

    /// @brief Returns where a request with a prompt that was sent before could be sent next;
    /// nothing
    ///        if it could not be sent at once. The parameters are those of `placePrompt`.
    ///
    /// A question only: a placement that is recorded and taken back would count as demand, change
    /// the backlogs of its engines, and make other streams look for engines in turn.
    std::optional<Proposal> proposePrompt(const fleet::ServiceSpec &service,
                                          placement::Demand demand,
                                          const std::set<TargetId> &excluded,
                                          Milliseconds timeLeft) const;

    /// @brief The same for a request that has no prompt.
    std::optional<Proposal> proposePlain(const fleet::ServiceSpec &service,
                                         const std::set<TargetId> &excluded);

    /// @brief Records a proposal as a placement and notifies the other instances.
    /// @pre The proposal was made in the same callback of the event loop.
    /// @param timeLeft Time until the request's deadline.
    Placement accept(const fleet::ServiceSpec &service, const Proposal &proposal,
                     Milliseconds timeLeft);

    /// @brief Explains what `placePrompt` would do with a prompt that arrives now. Nothing is
    ///        recorded, queued, reserved or sent.
    ///
    /// Blocked requests and relaying are decided before the placement and not considered.
    /// @param timeLeft Time until the request's deadline.
    PromptExplanation explainPrompt(const fleet::ServiceSpec &service, placement::Demand demand,
                                    Milliseconds timeLeft) const;

    /// @brief Returns why a target is not a candidate, in one word; empty if it is one.
    std::string_view exclusionOf(const fleet::Target &target) const;

    /// @brief Places a request that has no prompt on the least loaded target of the service.
    Decision placePlain(const fleet::ServiceSpec &service, const std::set<TargetId> &excluded);

    /// @brief Returns the time until a target of the service accepts work; zero if one does now, or
    ///        if all are leaving.
    Milliseconds timeUntilTarget(const ServiceId &service) const;

    /// @brief Records the first event of a request that this instance placed, and notifies the
    ///        other instances.
    /// @param expectedMs Time to the first event that was expected at the placement.
    /// @param actualMs Measured time to the first event.
    /// @param inFlight Number of in-flight requests as reported by the target, if it did.
    void markDecoding(std::uint64_t entryId, double expectedMs, double actualMs,
                      std::optional<int> inFlight);

    /// @brief Returns the milliseconds until a target has finished all prefills placed there.
    double prefillBacklog(const TargetId &target) const;

    /// @brief Ends the deferral of a request that is placed, refused or has lost its caller.
    ///        Unknown ids are ignored.
    void endDeferral(std::uint64_t deferralId);

    /// @brief Refuses each request from now on that would be deferred, or remain so.
    void stopDeferring() { m_isStopping = true; }

    /// @brief Removes a request that this instance placed or queued, and notifies the other
    ///        instances.
    /// @param isCompleted True if the target sent the complete response.
    void endRequest(std::uint64_t entryId, bool isCompleted);

    /// @name Updates from other instances
    /// @{
    void applyRemoteInFlight(placement::InFlightRequest request);
    void applyRemoteQueued(const placement::QueuedRequest &waiting);
    void applyRemoteDecoding(std::uint64_t id);
    void recordEngineReport(placement::EngineKey target, int inFlight);
    void applyRemoteEnd(std::uint64_t id);
    void retainOnly(const std::string &owner, const std::vector<std::uint64_t> &liveIds);
    void removeRequestsOfOwner(const std::string &owner);
    /// @}

    /// @brief Registers a listener for placements with a prefill so long that callers of other
    ///        streams on the same engines may disconnect. It receives these engines.
    void onLongPrefill(std::function<void(const std::vector<placement::EngineKey> &)> listener)
    {
        m_longPrefillListeners.push_back(std::move(listener));
    }

    const placement::InFlightRequest *findInFlight(std::uint64_t id) const;
    const placement::QueuedRequest *findQueued(std::uint64_t id) const;
    std::vector<const placement::InFlightRequest *> ownInFlight() const;
    std::size_t deferredCount() const { return m_deferrals.size(); }
    placement::LoadPolicy loadPolicy() const { return m_loadPolicy; }

    /// @brief Adapts the load policy to the configuration and the instances.
    void updateLoadPolicy();
    std::vector<const placement::QueuedRequest *> ownQueued() const;

private:
    /// @param configuration Says which services have engines; null: none.
    placement::FleetSize fleetSize(const fleet::Configuration *configuration) const;

    /// @brief Returns whether a target may receive a request; it may still be ejected.
    bool isUsable(const fleet::Target &target, const ServiceId &service,
                  const std::set<TargetId> &excluded) const;

    /// @brief Returns the usable targets of a service, without ejected ones if enough are healthy.
    std::vector<const fleet::Target *> usableTargets(const ServiceId &service,
                                                     const std::set<TargetId> &excluded) const;

    /// @brief Returns the result for a request that none of the usable targets may receive.
    Refusal noTargetRefusal(const ServiceId &service) const;
    placement::Candidate candidateOf(const fleet::Target &target, const fleet::ServiceSpec &service,
                                     double weight) const;
    std::vector<placement::Candidate>
    candidatesOf(const std::vector<const fleet::Target *> &targets,
                 const fleet::ServiceSpec &service, double weight) const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    MetricsService *m_metrics = nullptr;
    PeerService *m_peers = nullptr;
    TargetPool *m_targets = nullptr;

    /// @brief Decides about a prompt without recording or sending anything; the parameters are
    ///        those of `placePrompt`.
    /// @param unavailable Targets that may not be used. Cold targets that the planner prefers and
    ///        that take no more requests of this instance now are added.
    /// @param shortDemand Includes the arrival of the request if that is short.
    /// @param coldTargetLimiter Updated if the plan uses a cold target.
    PromptDecision decidePrompt(const fleet::ServiceSpec &service, const placement::Demand &demand,
                                std::set<TargetId> &unavailable, Milliseconds timeLeft,
                                std::uint64_t entryId, bool wasSent,
                                const placement::DemandRate &shortDemand,
                                limits::ColdTargetLimiter &coldTargetLimiter) const;

    /// @brief Returns the least loaded usable target of a service; null if there is none.
    const fleet::Target *leastLoaded(const fleet::ServiceSpec &service,
                                     const std::set<TargetId> &excluded);

    /// @brief Uses one request of this instance's share if the target is cold.
    /// @return False if the share is used up.
    bool tryAcquireIfCold(limits::ColdTargetLimiter &limiter, const fleet::Target &target,
                          const fleet::ServiceSpec &service) const;

    /// @brief Returns the seed that decides between equally good engines; zero: no random choice.
    std::uint64_t choiceSeed(std::uint64_t entryId) const;

    /// @brief Records a deferral that starts, or continues one.
    Queued defer(const placement::Demand &demand, const Deferral &deferral);

    /// @brief Estimates the number of short requests that will be in flight at all engines.
    /// @param shortDemand Short requests received in this instance's cell.
    placement::DemandForecast demandForecast(const placement::DemandRate &shortDemand) const;

    /// @brief Returns the requests of the busiest engine divided by the mean of the usable engines
    ///        of its service; the largest value of all services.
    double busiestOverMean() const;

    /// @brief Estimates how many short requests the other instances of the cell have placed without
    ///        this instance knowing yet.
    double unannouncedArrivals(const placement::DemandRate &shortDemand) const;

    /// @brief Estimates which share of the decoding requests of peers has ended already.
    double unannouncedEndShare(const placement::DemandRate &shortDemand) const;

    /// @brief Returns the load of the engines that are available for long prompts.
    placement::LongPool longPoolLoad(const fleet::ServiceSpec &service,
                                     const placement::Demand &demand,
                                     const placement::DemandRate &shortDemand) const;

    /// @brief Decides whether a short request is deferred or refused.
    /// @param plan Nothing if no engine can take it.
    /// @return Nothing if the request is to be placed.
    std::optional<PromptDecision> deferOrRefuse(const fleet::ServiceSpec &service,
                                                const placement::Demand &demand,
                                                const std::optional<placement::Plan> &plan,
                                                const std::vector<const fleet::Target *> &targets,
                                                Milliseconds timeLeft) const;

    /// @brief Returns the deferral of a request that is deferred whatever its plan, or its refusal
    ///        if this instance stops, otherwise nothing.
    std::optional<PromptDecision> remainsDeferred(const fleet::ServiceSpec &service,
                                                  const placement::Demand &demand,
                                                  const std::set<TargetId> &unavailable,
                                                  Milliseconds timeLeft) const;

    /// @brief Estimates the load of the slots, without the deferred requests.
    placement::SlotLoad slotLoad(const fleet::ServiceSpec &service,
                                 const std::vector<const fleet::Target *> &targets) const;

    /// @brief Estimates the deferred requests at all instances that are ahead of a request.
    double deferredAhead(const ServiceId &service, const placement::Demand &demand,
                         int distance) const;

    /// @brief Returns the short requests for a service that were received in this cell.
    placement::DemandRate shortDemandOf(const ServiceId &service) const;

    /// @brief Returns the part of the cell's short requests that is for a service.
    double shareOfDemand(const ServiceId &service) const;

    /// @brief Records a short request that was received in this cell.
    void recordShortArrival(const ServiceId &service);

    /// @brief Returns the service of a request in flight; empty if its engine is not known any
    /// more.
    ServiceId serviceOf(const placement::InFlightRequest &request) const;

    /// @brief Records that a short request of this instance has been completed.
    void recordShortCompletion(const placement::InFlightRequest &request);

    /// @brief Collects the requests that compete for the engines of a service.
    placement::Competition competitionFor(const ServiceId &service, bool isShort) const;

    /// @brief Returns the factor of a long prompt's weight by its rank and its team's share.
    double relativeWeight(const ServiceId &service, const placement::Demand &demand) const;
    void addAdmissionGauges();

    /// @brief Counts a placement in the demand and notifies the listeners for long prefills.
    void recordNewRequest(const placement::InFlightRequest &request);
    Milliseconds virtualArrival(const fleet::ServiceSpec &service,
                                const placement::Demand &demand) const;

    /// @brief Adds a request to the queue, unless it is there already, and notifies the other
    ///        instances.
    Queued enqueueRequest(const fleet::ServiceSpec &service, const placement::Demand &demand,
                          Milliseconds timeLeft, std::uint64_t entryId);

    /// @brief Records a plan in the load tracker and notifies the other instances.
    Placement commitPlacement(const fleet::ServiceSpec &service, const placement::Demand &demand,
                              const placement::Plan &plan, Milliseconds timeLeft,
                              std::uint64_t entryId);

    placement::LoadPolicyMode m_loadPolicyMode;
    placement::LoadPolicy m_loadPolicy;
    placement::LoadTracker m_loadTracker;
    placement::DemandRate m_shortDemand; ///< Short requests received in this instance's cell.
    std::map<ServiceId, placement::DemandRate> m_shortDemandByService; ///< For the admission.
    placement::DemandRate m_longPrefillDemand; ///< Prefill milliseconds placed by all instances.
    limits::ColdTargetLimiter m_coldTargetLimiter;
    std::mt19937_64 m_random;
    std::vector<std::function<void(const std::vector<placement::EngineKey> &)>>
        m_longPrefillListeners;
    std::map<std::uint64_t, Deferral> m_deferrals; ///< The deferred requests by their ids.
    std::map<ServiceId, placement::DeferredCounts> m_deferredCounts;
    std::uint64_t m_lastDeferral = 0;
    bool m_isStopping = false; ///< Nothing is deferred any more.
    std::uint64_t m_admissionRefusals = 0; ///< Short requests refused since the start.
    std::uint64_t m_lastEntryId;
    std::uint64_t m_lastReservation = 0;
};

} // namespace egretmount::node

template<>
struct egretmount::NameTable<egretmount::node::RefusalReason>
{
    using RefusalReason = egretmount::node::RefusalReason;
    static constexpr std::array<NameEntry<RefusalReason>, 9> entries { {
        { RefusalReason::NoTarget, "no-target" },
        { RefusalReason::TurnedAway, "turned-away" },
        { RefusalReason::AllFull, "all-full" },
        { RefusalReason::TooLate, "too-late" },
        { RefusalReason::Overloaded, "overloaded" },
        { RefusalReason::NoneReached, "none-reached" },
        { RefusalReason::CrashesTargets, "crashes-targets" },
        { RefusalReason::Congested, "congested" },
        { RefusalReason::Stopping, "stopping" },
    } };
};

template<>
struct egretmount::NameTable<egretmount::node::QueueReason>
{
    using QueueReason = egretmount::node::QueueReason;
    static constexpr std::array<NameEntry<QueueReason>, 4> entries { {
        { QueueReason::NotJoined, "not-joined" },
        { QueueReason::PromptsAhead, "prompts-ahead" },
        { QueueReason::EnginesBusy, "engines-busy" },
        { QueueReason::NoCapacity, "no-capacity" },
    } };
};
