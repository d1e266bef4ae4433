#pragma once

#include <memory>
#include <set>
#include <string>

#include <egretmount/fleet/configuration.h>
#include <egretmount/http/event_scanner.h>
#include <egretmount/limits/crash_causes.h>
#include <egretmount/limits/next_step.h>

#include "net/server_connection.h"
#include "placement_service.h"
#include "platform/messages.h"
#include "target_send.h"

namespace egretmount::node {

class IngressService;
class MetricsService;
class CrashGuard;
class ReachService;
class RelayService;
class TargetPool;
class FleetService;

/// @brief Services that an exchange depends on.
struct ExchangeServices
{
    net::Reactor &reactor;
    FleetService &fleet;
    PlacementService &placement;
    TargetPool &targets;
    IngressService &ingress;
    MetricsService &metrics;
    CrashGuard &crashes;
    ReachService &reach;
    RelayService &relay;
};

/// @brief Who has sent a request to this instance.
enum class RequestSource {
    Caller,
    Instance, ///< Another instance that reaches no target passes a caller's request on.
};

/// @brief Handles one caller's request, from the complete request to the final response.
///
/// Validates the request, asks the placement service for a target, forwards the request and
/// returns the response. Retries at another target if the route and the retry budget allow it.
class Exchange
    : public std::enable_shared_from_this<Exchange>
    , private SendListener
{
public:
    Exchange(const ExchangeServices &services, std::shared_ptr<net::ServerConnection> connection,
             http::RequestHead head, net::RequestBody body, RequestSource source);
    ~Exchange() override;

    /// @brief Validates and forwards the request, or waits for the first configuration.
    /// @param randomValue From 0 to 1; selects one of the route's services by their weights.
    void start(double randomValue);

    /// @brief Starts processing if the request was waiting for the first configuration.
    void onConfigured();

    /// @brief Returns the engine that the request was sent to, or zero if there is none.
    placement::EngineKey engine() const;

    /// @brief Migrates the stream to another engine if the current one has started a prefill so
    ///        long that the caller would disconnect before the next event.
    void migrate();

    /// @brief Ends the exchange if its request is blocked and the caller has received
    ///        nothing yet. A target that still reads a prompt is spared by that.
    void onBlocked();

    /// @brief Decides on the request again if it is deferred.
    void retryDeferred();

    /// @brief Ends the exchange because this instance shuts down.
    void stop();

private:
    class HeldSend;

    bool maySend() override;
    void onRequestSent() override;
    std::optional<limits::SendFailure> onResponseHead(http::ResponseHead head,
                                                      std::optional<int> inFlight) override;
    bool onResponseBytes(std::string bytes) override;
    void onResponseComplete() override;
    void onSendFailed(limits::SendFailure failure, const std::string &failedTargetAddress) override;

    std::shared_ptr<TargetSend> makeSend();
    void begin();
    void waitForConfiguration();

    /// @brief Finds the route and the team of the request. Responds with an error if it is invalid.
    bool validateRequest();

    /// @brief Asks for a placement and sends, queues or refuses the request accordingly.
    void send();
    void reserveAndSend(const Placement &placement);
    void sendTo(const Placement &placement);

    /// @brief Returns whether the request may still be sent, and whether the target and the helper
    ///        engines of the placement still accept work.
    bool isPlacementUsable() const;

    /// @brief Asks for another placement, as the present one has meanwhile become unusable.
    void placeAnew();
    Decision place();

    /// @brief Returns whether the request is placed by its prompt, not as a plain request.
    bool hasPrompt() const;

    /// @brief Returns what the placement of the prompt depends on now.
    placement::Demand demand() const;
    void waitInQueue(const Queued &queued);

    /// @brief Keeps the deferral of a decision, or ends it, and logs the start of one.
    void updateDeferral(const Decision &decision);
    void handleRefusal(const Refusal &refusal);

    /// @brief Returns whether the request waits for a target that soon accepts work again.
    bool awaitsReturn(const Refusal &refusal) const;

    /// @brief Returns the delay after which the caller may return, not before a target does.
    Milliseconds retryDelay(Milliseconds leastDelay) const;
    void handleFailure(limits::SendFailure failure);

    /// @brief Returns true if the route still allows a send to another target.
    bool canMigrate() const;

    /// @brief Returns where the request could be sent instead of the current target. Nothing is
    ///        recorded or announced.
    std::optional<Proposal> proposeElsewhere();

    /// @brief Cancels the present send and sends the request to another target.
    void migrateTo(const Placement &placement);

    /// @brief Sends the request to another target. The present send is kept until that responds.
    void tryElsewhere(const Placement &placement);

    /// @brief Goes on with the send that is kept, in place of the present one.
    /// @return False if none is kept.
    bool resumeHeldSend();
    void onHeldSendFailed(limits::SendFailure failure);

    /// @brief Cancels the send that is kept, if there is one.
    void endHeldSend();
    void scheduleStallCheck();
    void checkForStall();

    /// @brief Moves a stalled request to another target if there is one.
    void leaveStalledTarget();
    void onStalledTargetProbed(limits::TargetState state);
    bool isTargetStalled() const;

    /// @brief Returns whether the target is silent and this instance reaches no target.
    bool isCutOff() const;

    /// @brief Passes on what another instance answers for want of capacity; otherwise as
    ///        `handleFailure`.
    void onRelayFailed(limits::SendFailure failure);
    void onCallerGone();
    void startDeadlineTimer(Milliseconds delay);
    void onDeadline();

    /// @brief Cancels the timers of the current send and releases its queue entry, its memory
    ///        reservations and its load tracker entry.
    void endSend(bool isCompleted = false);
    /// @brief Returns whether the target of the current send has written on the prompt for so long
    ///        that the prompt does not crash it.
    bool isPromptProven() const;
    void recordProof();

    /// @brief Passes the complete events on. Returns false if they do not continue the stream.
    bool forwardEvents(const std::string &bytes);

    /// @brief Stops reading the response while the caller has too much of it still to receive.
    void awaitCaller();

    void forwardFallback();

    /// @brief Ends the request with the most accurate final response that is still possible.
    /// @param statusIfUnknown Status if the request may have been executed.
    void failRequest(std::string_view reason, Milliseconds retryAfter, int statusIfUnknown);
    void respondWithError(int status, std::string_view reason,
                          Milliseconds retryAfter = Milliseconds());

    /// @brief Responds with 503, which states that the request was not executed.
    void refuse(std::string_view reason, Milliseconds retryAfter);

    /// @brief Closes the connection in the middle of the response, so that the caller notices that
    ///        it is incomplete.
    void abortResponse(std::string_view reason);
    void finish(int status, std::string_view outcome);
    Milliseconds outageRetryDelay() const;
    Milliseconds timeLeft() const;
    std::string responseFields(const http::ResponseHead &head) const;

    ExchangeServices m_services;
    std::shared_ptr<net::ServerConnection> m_connection;
    http::RequestHead m_requestHead;
    std::shared_ptr<const std::string> m_body;
    Digest m_bodyDigest;
    limits::BodyReservation m_bodyReservation;
    RequestSource m_source;
    platform::CallerFields m_caller;
    std::shared_ptr<const fleet::Configuration> m_configuration;
    const fleet::Route *m_route = nullptr;
    fleet::Route m_relayedRoute; ///< `m_route` of a request from another instance.
    const fleet::ServiceSpec *m_service = nullptr;
    TeamId m_team;
    int m_rank = 0; ///< 0 is the most urgent; see `fleet::rankOf`.
    /// The request itself and the shared parts of its prompt: what is blocked if targets crash.
    std::vector<limits::Cause> m_causes;
    Milliseconds m_arrivedAt;
    Milliseconds m_deadline;
    limits::SendHistory m_history;
    std::set<TargetId> m_failedTargets;
    Placement m_placement; ///< Of the last send.
    /// Memory at helper engines; null if only the first engine holds memory for the request.
    std::shared_ptr<MemoryReservations> m_reservations;
    std::shared_ptr<TargetSend> m_send;
    std::shared_ptr<HeldSend> m_heldSend; ///< Null unless a silent target is kept.
    http::ResponseHead m_responseHead; ///< Once the caller has received it, it does not change.
    std::optional<int> m_reportedInFlight; ///< In-flight requests as reported by the target.
    std::string m_buffer; ///< Response body that has not been forwarded yet.
    bool m_isEventStream = false;
    http::EventScanner m_scanner;
    bool m_hasFallback = false; ///< A target's error that is returned if no retry succeeds.
    http::ResponseHead m_fallbackHead;
    std::string m_fallbackBody;
    Milliseconds m_sentAt;
    Milliseconds m_lastEventAt;
    Milliseconds m_lastForwardedAt;
    Milliseconds m_firstEventAt;
    Milliseconds m_reportedBusyAt; ///< When the target last reported that it has requests.
    int m_busyReports = 0; ///< Such reports since the request was sent.
    Milliseconds m_longestEventGap; ///< Longest time between two events sent to the caller.
    net::TimerId m_deadlineTimer = 0;
    net::TimerId m_stallTimer = 0;
    net::TimerId m_queueTimer = 0;
    std::uint64_t m_queueEntryId = 0; ///< Load tracker entry while queued; zero if not queued.
    std::uint64_t m_deferralId = 0; ///< Zero if the request is not deferred.
    double m_randomValue = 0;
    bool m_isAdmitted = false; ///< The request was placed at least once.
    bool m_awaitsConfiguration = false;
    bool m_hasAwaitedCaller = false; ///< Since the deadline was last checked.
    bool m_isDecoding = false;
    Milliseconds m_decodingSince; ///< First event of the current send.
    int m_decodedEvents = 0; ///< Deliveries with events in the current send.
    bool m_isProofRecorded = false; ///< The prompt has been recorded as one that crashes no engine.
    bool m_isOver = false;
};

} // namespace egretmount::node
