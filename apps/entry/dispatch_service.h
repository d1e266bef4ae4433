#pragma once

#include <functional>
#include <map>
#include <vector>

#include <egretmount/core/error.h>
#include <egretmount/core/random.h>
#include <egretmount/core/request.h>
#include <egretmount/routing/choice.h>

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
};

/// @brief How the work at a target ended.
enum class Outcome {
    Completed,
    Cancelled, ///< The caller left or the deadline passed; the target is not to blame.
    Failed, ///< The target broke off or could not be reached.
};

/// @brief Decides where requests go. All methods but `submit` and `finish` are for the loop's
/// thread.
class DispatchService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "dispatch";

    using Decided = std::function<void(Result<Assignment>)>;

    DispatchService(kernel::Loop &loop, kernel::Registry &registry, const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Asks for a target. `decided` is called once, on the loop's thread. Any thread.
    void submit(const Request &request, Decided decided);

    /// @brief Tells that the first token of a request has come. Any thread.
    void noteFirstToken(const RequestId &id);

    /// @brief Takes in a target's load report. Any thread.
    void noteReport(const TargetId &target, const routing::LoadReport &report);

    /// @brief Gives back what a request held. Every granted request must be finished. Any thread.
    void finish(const RequestId &id, Outcome outcome);

    const std::vector<routing::TargetView> &targets() const { return m_targets; }

private:
    struct Held
    {
        Request request;
        TargetId target;
        Milliseconds assignedAt;
        bool hasFirstToken = false;
    };

    void takeDocument(const config::FleetDocument &document);
    void decide(const Request &request, const Decided &decided);
    void assign(routing::TargetView &view, const Request &request, const Decided &decided);
    void borrow(const Request &request, const Decided &decided);
    void refreshShares();
    Error overloadError();
    routing::TargetView *find(const TargetId &id);

    kernel::Loop &m_loop;
    kernel::Registry &m_registry;
    CreditService *m_credit = nullptr; // set by start
    ZoneId m_zone;
    Random m_random;
    std::vector<routing::TargetView> m_targets;
    std::map<RequestId, Held> m_held;
};

} // namespace egretmount::entry
