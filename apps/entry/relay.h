#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egretmount/core/error.h>
#include <egretmount/core/request.h>
#include <egretmount/stream/reassembly.h>

#include "dispatch_service.h"
#include "http/client.h"
#include "http/server.h"
#include "request_trace.h"
#include "request_watch.h"

namespace egretmount::entry {

/// @brief What the system needs to know of the body of a completion request.
struct CompletionBody
{
    ServiceId service; ///< The `model` of the request names a service.
    std::int64_t promptBytes = 0;
    TokenCount maxTokens = 0;
};

/// @brief Reads the body of a completion request.
Result<CompletionBody> readCompletionBody(const std::string &body);

/// @brief Where a completion gets its target and its body from, if not from the queue and the
/// caller.
struct CompletionSource
{
    /// Gives the target for the next attempt.
    std::function<Result<Assignment>()> acquire;

    /// Completes the request to the target. @return The body to send.
    std::function<const std::string &(Poco::Net::HTTPRequest &)> prepare;

    /// Judges an attempt that failed. @return False: the target keeps the request for a next one.
    std::function<bool()> isTargetToBlame;

    RequestId callerId; ///< Identity of the request for the caller.
};

/// @brief Serves one completion: asks for a target, relays its stream, goes on elsewhere after a
///        failure at the offset that the caller has reached.
class CompletionRelay
{
public:
    /// @param nextOffset The first token that the caller lacks; above zero where it resumes.
    CompletionRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange, Request request,
                    const std::string &body, TokenCount nextOffset,
                    const CompletionSource *source = nullptr);
    ~CompletionRelay();

    CompletionRelay(const CompletionRelay &) = delete;
    CompletionRelay &operator=(const CompletionRelay &) = delete;

    /// @brief Serves the request to its end; always answers unless the caller has left.
    void run();

    RequestWatch &watch() { return *m_watch; }

private:
    Result<void> attempt();
    Result<void> relayFrom(const Assignment &assignment);
    Result<void> relayConnection(const Assignment &assignment);
    Result<void> relayResponse(http::ClientCall &call, const TargetId &target);
    Result<void> readEvents(std::istream &stream);
    bool forward(const stream::Chunk &chunk);
    void recordUsage(const stream::Chunk &last);
    void answerError(const Error &error);
    void release(const Assignment &assignment, Outcome outcome);
    Error interruptionError() const;
    const RequestId &callerId() const { return m_source ? m_source->callerId : m_request.id; }

    kernel::ServiceRegistry &m_registry;
    DispatchService &m_dispatch;
    http::Exchange &m_exchange;
    Request m_request;
    RequestTrace m_trace;
    Request m_admitted; // as the dispatch service knows it
    const std::string &m_body;
    const CompletionSource *m_source; // null: the queue and the caller's body
    std::shared_ptr<RequestWatch> m_watch;
    stream::Reassembly m_reassembly;
    TargetId m_target; // of the attempt in hand
    Verdict m_verdict = Verdict::NotRun;
    std::ostream *m_out = nullptr; // set once the head of the answer is sent
    int m_attempts = 0;
    bool m_isResumable = false; // the target has accepted the request and reported no error
};

} // namespace egretmount::entry
