#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/request.h>
#include <egretmount/credit/lease.h>
#include <egretmount/credit/lending.h>
#include <egretmount/credit/warmth.h>
#include <egretmount/membership/instance_list.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"
#include "load_poller.h"
#include "rpc/peer.capnp.h"

namespace egretmount::entry {

/// @brief How work at a target ended, as far as its capacity is concerned.
enum class Ending {
    Certain, ///< The target holds nothing of the request any more.
    Unknown, ///< The target may hold it up to the request's deadline.
};

/// @brief What a target says of its load, in the fields that credits need.
struct TargetLoad
{
    std::uint64_t bootId = 0;
    config::Capacity used;
    bool isWarm = false;
};

/// @brief Keeps this instance's share of what each target can bear. Loop thread only.
class CreditService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "credit";

    CreditService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                  const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief True once the hold-off after the start has passed and what can be spent is known.
    bool isSettled() const;

    /// @brief What this instance may have in flight at a target, borrowed capacity included.
    config::Capacity share(const TargetId &target) const;

    /// @brief True if the target has not shown that it bears its full capacity.
    bool isCold(const TargetId &target) const;

    /// @brief Counts a request as in flight at a target.
    /// @return False if the share has no room for it; the request must then not be sent.
    bool take(const TargetId &target, const Request &request);

    /// @brief Ends what `take` or `borrow` began; unknown requests are ignored.
    void release(const RequestId &request, Ending ending = Ending::Certain);

    /// @brief True if other instances may have room for a request that the own share has not.
    bool mayBorrow(const TargetId &target, const Request &request) const;

    /// @brief Borrows what the own share lacks for one request. `granted` is called once, later or
    ///        at once; after `granted(true)` the share has room for the request, which the caller
    ///        must `take` in the same call.
    void borrow(const TargetId &target, const Request &request, std::function<void(bool)> granted);

    /// @brief Takes in a target's report.
    void applyReport(const TargetId &target, const TargetLoad &load, Milliseconds now);

    /// @brief Takes in how long a target needed for a first token.
    void onFirstToken(const TargetId &target, TokenCount promptTokens, Milliseconds took);

    /// @brief The targets whose share may differ since the last call. Before a decision the
    ///        dispatcher takes their shares anew, as what was lent since must not be spent.
    std::vector<TargetId> takeChanged();

    /// @brief True after a gap in the loop, while nothing may be spent.
    bool isPaused() const;

    /// @brief Adds a listener that is called when this instance may spend more than before.
    void onShareChanged(std::function<void()> listener)
    {
        m_onChange.push_back(std::move(listener));
    }

    /// @brief Answers peers. `caller` is the proven identity of the connection.
    void answerCredit(const InstanceRun &caller, wire::CreditRequest::Reader request,
                      wire::CreditGrant::Builder grant);
    void answerReturn(const InstanceRun &caller, wire::CreditReturn::Reader done);
    void answerLease(const InstanceRun &caller, wire::LeaseRequest::Reader request,
                     wire::LeaseReply::Builder reply);

private:
    struct Waiting
    {
        TargetId target;
        std::function<void(bool)> granted;
    };

    void takeDocument(const config::FleetDocument &document);
    void takeList(const membership::InstanceList &list);
    void refreshTargets();
    void sweep();
    void notifyIfGained();
    void pollQuietTargets(Milliseconds now);
    void setWarmth(const TargetId &target, Milliseconds now);
    bool isUsablePeer(const InstanceId &id) const;

    std::vector<InstanceId> lendersFor(const TargetId &target, const Request &request) const;
    void follow(const credit::BorrowStep &step);
    void ask(const InstanceId &lender, const credit::CreditRequest &request);
    void sendReturns(const TargetId &target, const std::vector<credit::LoanRef> &loans);

    void keepLeases(Milliseconds now);
    void keepLease(const TargetId &target, const credit::Account &account, Milliseconds now);
    bool isFirstCandidate(const TargetId &target) const;
    void releaseLease(const TargetId &target, Milliseconds now);
    void sendLeaseRequest(const InstanceId &granter, const credit::LeaseRequest &request);

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    credit::EscrowState m_escrow;
    credit::LeaseState m_leases;
    credit::WarmupSettings m_warmthSettings;
    std::map<TargetId, credit::WarmupState> m_warmth;
    std::map<TargetId, std::string> m_addresses;
    std::map<TargetId, Milliseconds> m_refusedUntil; // others had no room
    std::vector<config::Target> m_targets;
    std::optional<credit::ListedInstances> m_roster; // set by the first list
    std::set<TargetId> m_changed;
    std::map<RequestId, Waiting> m_waiting; // requests that gather
    std::vector<std::function<void()>> m_onChange;
    config::Capacity m_lastRoom;
    Milliseconds m_startedAt;
    LoadPoller m_poller;
};

} // namespace egretmount::entry
