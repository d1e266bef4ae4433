#pragma once

#include <string>

#include <Poco/Net/HTTPRequest.h>

#include <egretmount/core/error.h>
#include <egretmount/core/request.h>
#include <egretmount/runonce/issuer.h>

#include "dispatch_service.h"
#include "http/client.h"
#include "peer_service.h"
#include "request_watch.h"

namespace egretmount::entry {

/// @brief Bound of a connection set-up to a target.
constexpr Milliseconds connectTimeout = Milliseconds(500);

/// @brief When callers may come back after a target has failed.
constexpr Milliseconds retryAfterFailure = Milliseconds(500);

/// @brief Targets tried for one request at most.
constexpr int maxAttempts = 3;

/// @brief Longest answer of a plain service.
constexpr std::size_t maxAnswerBytes = 16UL << 20U;

/// @brief This run of the instance, as targets know the owner of a request.
std::string ownerText(const PeerService &peers);

/// @brief A POST to a target with the headers that say whose request it is.
Poco::Net::HTTPRequest makeTargetRequest(const std::string &path, const Request &request,
                                         const PeerService &peers);

/// @brief The request under an id that no other one at this instance has, as callers may use theirs
///        twice. For the dispatch service.
Request withUniqueId(Request request);

/// @brief Waits for the decision on a target; it always comes, by the deadline at the latest.
/// @param watch A request whose caller leaves meanwhile is withdrawn; null: it waits on.
Result<Assignment> requestTarget(DispatchService &dispatch, const Request &request,
                                 const RequestWatch *watch = nullptr);

/// @brief The error of a request whose deadline has passed.
Error deadlineError(Verdict verdict);

/// @brief Sends a call of a plain service and reads its whole answer. @pre `call` is connected.
/// @return The answer, or `TargetFailed` with `MayHaveRun`. A status of 500 and above is a failure.
Result<runonce::CallResponse> exchangeCall(http::ClientCall &call, Poco::Net::HTTPRequest &outgoing,
                                           const std::string &body, const TargetId &target);

} // namespace egretmount::entry
