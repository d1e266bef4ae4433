#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/admission/team_limits.h>
#include <egretmount/admission/token_estimate.h>
#include <egretmount/core/error.h>
#include <egretmount/core/request.h>
#include <egretmount/membership/instance_list.h>
#include <egretmount/routing/borrowing.h>
#include <egretmount/routing/span.h>

#include "credit_service.h"
#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief The target that a request was given.
struct Assignment
{
    TargetId target;
    std::string address;
    Milliseconds silenceTimeout;
    int enginePriority = 0; ///< To be stated to the target.
};

using routing::Outcome;

/// @brief Carries out the decisions of `routing::DispatchState` on requests of this instance.
class DispatchService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "dispatch";

    using Decided = std::function<void(Result<Assignment>)>;

    DispatchService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                    const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Asks for a target. `decided` is called once, on the loop's thread, by the request's
    ///        deadline at the latest, unless the request is withdrawn. Any thread.
    void submit(const Request &request, Decided decided);

    /// @brief Asks for a given target without queueing, borrowing if other instances have room.
    ///        `decided` is called once, on the loop's thread. Any thread.
    void reserve(const Request &request, const TargetId &target, Decided decided);

    /// @brief Plans a span; see `routing::planSpan`. Any thread.
    std::optional<routing::SpanPlan> plan(const Request &request, std::size_t least);

    /// @brief Another engine for a lost part; see `routing::replaceShard`. Any thread.
    std::optional<TargetId> replacement(const routing::SpanPlan &plan, std::size_t index,
                                        const Request &part);

    /// @brief True if a request needs more than one target's memory. Any thread.
    bool needsSpan(const Request &request);

    /// @brief Takes back a request that is not decided yet; its `decided` is destroyed. Any thread.
    void cancelQueued(const RequestId &id);

    /// @brief Tells that the first token of a request has come. Any thread.
    void onFirstToken(const RequestId &id);

    /// @brief Takes in a target's load report. Any thread.
    void applyReport(const TargetId &target, const routing::LoadReport &report);

    /// @brief Gives back what a request held. Every granted request must be finished. Any thread.
    /// @param generated Tokens of the answer, as far as it came.
    void finish(const RequestId &id, Outcome outcome, TokenCount generated = 0);

    /// @brief Estimated tokens of a request's prompt, from its length. Any thread.
    TokenCount estimateTokens(const Request &request);

    /// @brief Takes in how many tokens a target counted in a prompt. Any thread.
    void recordUsage(const Request &request, TokenCount promptTokens);

    /// @brief Spends one internal retry. @return False if the budget is used up. Any thread.
    bool tryAcquireRetry();

    /// @brief What is known of targets and requests. Loop thread only.
    const routing::DispatchState &state() const { return m_state; }

private:
    void takeDocument(const std::shared_ptr<const config::FleetDocument> &document);
    void takeList(const membership::InstanceList &list);
    void decide(const Request &request, const Decided &decided);
    bool takeTeamTokens(const Request &request, const config::Team *team);
    void returnTeamTokens(const RequestId &id);
    void carryOut(const routing::Decisions &decisions);
    bool take(const routing::Assigned &assigned);
    bool place(const routing::Decisions &decisions, const Decided &decided);
    void refreshShares();
    void refreshChangedShares();
    void refreshShare(const TargetId &target);
    void borrowForBlocked();
    void borrow(const routing::CapacityBlockedRequest &blocked);
    void answer(const RequestId &id, Result<Assignment> result);
    Result<Assignment> makeAssignment(const routing::Assigned &assigned);

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    CreditService *m_credit = nullptr; // set by start
    std::shared_ptr<const config::FleetDocument> m_document;
    std::uint64_t m_ticks = 0;
    routing::DispatchState m_state;
    admission::RetryBudget m_retries;
    admission::TokenEstimator m_estimator;
    admission::TeamLimits m_limits;
    std::unordered_map<RequestId, Request> m_limited; // requests that hold a part of a team limit
    InstanceId m_self;
    std::unordered_map<RequestId, Decided> m_undecided;
    std::set<RequestId> m_borrowing; // requests that wait for a lender
};

} // namespace egretmount::entry
