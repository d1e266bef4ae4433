#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief A completion request as a client sends it.
struct CallerRequest
{
    std::string address; ///< `IP:port` of an entry instance, or of an engine as a baseline.
    std::string token; ///< The team's secret token.
    RequestId id;
    std::string model;
    std::string prompt;
    std::string_view sharedPrompt; ///< Appended to `prompt`; ASCII without JSON escapes.
    TokenCount maxTokens = 0;
    Milliseconds deadline; ///< Remaining time at the moment of sending.
};

/// @brief Outcome of a request as observed by the client. Times are in microseconds since sending;
/// -1 means that the event did not occur.
struct CallerResult
{
    RequestId id;
    int status = 0; ///< HTTP status; 0 if no response was received.
    std::string target; ///< Target that the response names.
    std::string verdict; ///< Verdict on the execution, from the response; empty if it has none.
    std::string error; ///< Name of the error or text of the exception; empty if none.
    std::int64_t retryAfterMs = 0;
    std::int64_t firstTokenMicros = -1; ///< Time to first token.
    std::int64_t totalMicros = -1; ///< Time to the end of the response or to the failure.
    std::int64_t longestGapMicros = 0; ///< Longest inter-token gap.
    std::vector<std::string> tokens;
    bool isComplete = false; ///< Every token arrived in order, exactly once, up to `[DONE]`.
    bool isConnected = false; ///< If false, nothing was sent and another address may be tried.
};

/// @brief Sends a completion request and reads the event stream to its end. Blocks the calling
/// thread. Does not throw; failures are reported in the result.
CallerResult complete(const CallerRequest &request);

} // namespace egretmount::load
