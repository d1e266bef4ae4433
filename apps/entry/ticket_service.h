#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <egretmount/runonce/issuer.h>
#include <egretmount/runonce/ticket.h>
#include <egretmount/runonce/witness.h>

#include "entry_settings.h"
#include "http/client.h"
#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief How an instance reaches the issuer of a ticket.
struct IssuerRoute
{
    bool isSelf = false; ///< This very run has issued the ticket.
    std::string address; ///< HTTP address of the issuer; empty: it is not reachable.
};

/// @brief Tickets, permits and voids of calls that may not be repeated: this instance as issuer and
///        as witness. Blocking methods are for request threads, the rest for the loop's thread.
class TicketService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "tickets";

    /// Called once with the result, on the loop's thread.
    using Decided = std::function<void(runonce::BeginDecision)>;

    TicketService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                  const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Issues a ticket as text. Blocks for a turn of the loop.
    Result<std::string> issue(const TeamId &team, const ServiceId &service);

    /// @brief Reads the text of a ticket. Any thread.
    Result<runonce::Ticket> read(const std::string &text) const;

    /// @brief Begins the call of a ticket of this run. Blocks while the call runs elsewhere, until
    ///        the deadline at most. `Start` obliges the caller to call `finish`.
    runonce::BeginDecision begin(const runonce::Ticket &ticket, std::uint64_t fingerprint,
                                 Milliseconds deadline);

    /// @brief Asks the witness for the permit. Blocks until the deadline or for `permitTimeout`.
    /// @return The time until which the call may be sent, or nothing if it must not be sent.
    std::optional<Milliseconds> obtainPermit(const runonce::Ticket &ticket, Milliseconds deadline);

    /// @brief Stores the result of a call and hands it to all who wait for it. Any thread.
    void finish(std::uint64_t sequence, const Result<runonce::CallResponse> &result);

    /// @brief Asks the witness to void a ticket. Blocks until the deadline or for `permitTimeout`.
    runonce::WitnessAnswer voidAtWitness(const runonce::Ticket &ticket, Milliseconds deadline);

    /// @brief The way to the issuer of a ticket. Blocks for a turn of the loop.
    IssuerRoute routeTo(const runonce::Ticket &ticket);

    /// @brief Aborts a forwarded call once its issuer is suspected or has restarted. Any thread.
    void watchForward(const std::shared_ptr<http::ClientCall> &call, const InstanceRun &issuer);

    /// @brief This instance's answers as a witness.
    runonce::WitnessAnswer answerPermit(const runonce::Ticket &ticket);
    runonce::WitnessAnswer answerVoid(const runonce::Ticket &ticket);

    /// @brief Bound of one question to a witness.
    static constexpr Milliseconds permitTimeout = Milliseconds(1'000);

private:
    using Answered = std::function<void(runonce::WitnessAnswer)>;

    struct Forward
    {
        std::weak_ptr<http::ClientCall> call;
        InstanceRun issuer;
    };

    InstanceRun chooseWitness() const;
    bool isReachable(const InstanceRun &run) const;
    void tellJoined(std::uint64_t sequence);
    void askWitness(const runonce::Ticket &ticket, bool isVoid, Milliseconds deadline,
                    const Answered &answered);
    void sweepForwards();

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    std::string m_fleetKey;
    ZoneId m_zone;
    bool m_usesWitness;
    runonce::IssuerState m_issuer;
    runonce::WitnessState m_witness;
    std::map<std::uint64_t, std::vector<Decided>> m_joined; // by sequence
    std::vector<Forward> m_forwards;
};

} // namespace egretmount::entry
