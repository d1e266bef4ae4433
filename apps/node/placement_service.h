#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <egretmount/core/names.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/cold_gate.h>
#include <egretmount/placement/admission.h>
#include <egretmount/placement/demand_rate.h>
#include <egretmount/placement/ledger.h>
#include <egretmount/placement/planner.h>

#include "kernel/service.h"
#include "memory_tickets.h"
#include "net/reactor.h"

namespace egretmount::node {

class FleetService;
class PeerService;
class TargetPool;

/// @brief Where one request goes.
struct Placement
{
    fleet::TargetEntry target;
    std::vector<TargetId> helpers; ///< Engines that read a part of the prompt.
    std::vector<std::string> helperNames; ///< Addresses and tickets, in the same order.
    std::vector<MemoryTicket> tickets; ///< Memory to set aside before the request is sent.
    std::uint64_t work = 0; ///< Its entry in the ledger; zero for plain services.
    double expectedMs = 0; ///< Until the first event; zero for plain services.
    double partMs = 0; ///< Expected reading time of each part of the prompt.
};

/// @brief A request that waits for its turn.
struct Waiting
{
    std::uint64_t work = 0; ///< Its entry in the ledger.
    Milliseconds askAgainIn;
};

/// @brief Why a request gets no target.
enum class RefusalReason {
    NoTarget, ///< No usable target of the service is known.
    AllFull, ///< No target has a place.
    TooLate, ///< The answer would begin after the caller has left.
    Overloaded, ///< Its reading would hold up more than its answer is worth.
};

/// @brief A request that is not placed.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoTarget;
    Milliseconds retryAfter; ///< When a place is expected.
    placement::LongLane lane {}; ///< What an overload was decided from.
};

/// @brief What becomes of a request.
using Decision = std::variant<Placement, Waiting, Refusal>;

/// @brief Decides where requests go; keeps the ledger of all instances' placements.
class PlacementService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "placement";

    PlacementService(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Places a request with a prompt and tells the other instances.
    /// @param excluded Targets that have failed this request.
    /// @param life How long the request may take.
    /// @param work The entry under which it has waited; zero: it has not.
    /// @param hasRun It was sent before: place it even if its first event will be too late, as a
    ///        refusal would no longer be true.
    Decision placePrompt(const fleet::ServiceSpec &service, placement::Demand demand,
                         const std::set<TargetId> &excluded, Milliseconds life, std::uint64_t work,
                         bool hasRun);

    /// @brief Places a request without a prompt.
    Decision placePlain(const fleet::ServiceSpec &service, const std::set<TargetId> &excluded);

    /// @brief The first event of a work placed here has come.
    /// @param expectedMs What was expected at its placement. @param takenMs What it took.
    /// @param inHand What the target said that it has in hand, if it did.
    void noteWriting(std::uint64_t work, double expectedMs, double takenMs,
                     std::optional<int> inHand);

    /// @brief Milliseconds until a target has read what is placed there.
    double readingBacklog(const TargetId &target) const;

    /// @brief A work placed here has ended.
    /// @param isServed Its whole answer has come.
    void noteEnd(std::uint64_t work, bool isServed);

    /// @name What other instances tell
    /// @{
    void noteRemoteWork(placement::Work work);
    void noteRemoteWaiting(const placement::WaitingWork &waiting);
    void noteRemoteWriting(std::uint64_t id);
    void noteReport(placement::EngineKey target, int inHand);
    void noteRemoteEnd(std::uint64_t id);
    void keepStated(const std::string &owner, const std::vector<std::uint64_t> &stated);
    void forgetOwner(const std::string &owner);
    /// @}

    /// @brief Registers who hears that engines begin to read a long part of a prompt.
    void onLongReading(std::function<void(const std::vector<placement::EngineKey> &)> listener)
    {
        m_readingListeners.push_back(std::move(listener));
    }

    const placement::Work *findWork(std::uint64_t id) const;
    const placement::WaitingWork *findWaiting(std::uint64_t id) const;
    std::vector<const placement::Work *> ownWorks() const;
    std::vector<const placement::WaitingWork *> ownWaiting() const;

private:
    std::vector<const fleet::Target *> usableTargets(const ServiceId &service,
                                                     const std::set<TargetId> &excluded) const;
    placement::Candidate candidateOf(const fleet::Target &target, const fleet::ServiceSpec &service,
                                     double weight) const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    TargetPool *m_targets = nullptr;
    placement::Outlook outlook() const;
    placement::LongLane longLane(const fleet::ServiceSpec &service,
                                 const placement::Demand &demand) const;
    void noteNewWork(const placement::Work &work);
    Milliseconds turnOf(const fleet::ServiceSpec &service, const placement::Demand &demand) const;
    Waiting wait(const fleet::ServiceSpec &service, const placement::Demand &demand,
                 Milliseconds life, std::uint64_t work);
    Placement enter(const fleet::ServiceSpec &service, const placement::Demand &demand,
                    const placement::Plan &plan, Milliseconds life, std::uint64_t work);

    placement::Ledger m_ledger;
    placement::DemandRate m_shortDemand; ///< Of this instance's callers.
    placement::DemandRate m_longReading; ///< Placed by all instances, milliseconds.
    limits::ColdGate m_coldGate;
    std::mt19937_64 m_random;
    std::vector<std::function<void(const std::vector<placement::EngineKey> &)>> m_readingListeners;
    std::uint64_t m_nextWork;
    std::uint64_t m_lastTicket = 0;
};

} // namespace egretmount::node

template<>
struct egretmount::NameTable<egretmount::node::RefusalReason>
{
    using RefusalReason = egretmount::node::RefusalReason;
    static constexpr std::array<NameEntry<RefusalReason>, 4> entries { {
        { RefusalReason::NoTarget, "no-target" },
        { RefusalReason::AllFull, "all-full" },
        { RefusalReason::TooLate, "too-late" },
        { RefusalReason::Overloaded, "overloaded" },
    } };
};
