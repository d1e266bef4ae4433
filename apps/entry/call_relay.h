#pragma once

#include <string>

#include <egretmount/core/request.h>
#include <egretmount/runonce/issuer.h>

#include "http/server.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief Serves one call of a plain service that may be repeated: a failed target is followed by
///        another one.
void relayCall(kernel::ServiceRegistry &registry, http::Exchange &exchange, const Request &request,
               const std::string &body);

/// @brief Sends the result of a call to its caller.
void sendCallResult(http::Exchange &exchange, const Result<runonce::CallResponse> &result);

} // namespace egretmount::entry
