#pragma once

#include <functional>
#include <map>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/request.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"

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

    CreditService(kernel::Loop &loop, kernel::Registry &registry, const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief What this instance may have in flight at a target, borrowed capacity included.
    config::Capacity share(const TargetId &target) const;

    /// @brief True if the target has not shown that it bears its full capacity.
    bool isCold(const TargetId &target) const;

    /// @brief Counts a request as in flight at a target. @pre The share has room for it.
    void take(const TargetId &target, const Request &request);

    /// @brief Ends what `take` or `borrow` began; unknown requests are ignored.
    void release(const RequestId &request, Ending ending = Ending::Certain);

    /// @brief True if other instances may have room for a request that the own share has not.
    bool mayBorrow(const TargetId &target, const Request &request) const;

    /// @brief Borrows what the own share lacks for one request. `granted` is called once, later or
    ///        at once; after `granted(true)` the share has room for the request, which the caller
    ///        must `take` in the same call.
    void borrow(const TargetId &target, const Request &request,
                const std::function<void(bool)> &granted);

    /// @brief Takes in a target's report.
    void noteReport(const TargetId &target, const TargetLoad &load, Milliseconds now);

    /// @brief Takes in how long a target needed for a first token.
    void noteFirstToken(const TargetId &target, TokenCount promptTokens, Milliseconds took);

    /// @brief Adds a listener that is called whenever a share may have changed.
    void onShareChanged(std::function<void()> listener)
    {
        m_onChange.push_back(std::move(listener));
    }

private:
    kernel::Registry &m_registry;
    std::map<TargetId, config::Capacity> m_shares;
    std::vector<std::function<void()>> m_onChange;
};

} // namespace egretmount::entry
