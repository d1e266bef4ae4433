#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief A completion request as a caller sends it.
struct CallerRequest
{
    std::string address; ///< `IP:port` of an entry instance, or of an engine for comparison.
    std::string token; ///< Secret of the team.
    RequestId id;
    std::string model;
    std::string prompt;
    std::string_view sharedPrompt; ///< Follows `prompt`; plain ASCII that JSON need not escape.
    TokenCount maxTokens = 0;
    Milliseconds deadline; ///< Time left when the request is sent.
};

/// @brief What the caller saw. Times are in microseconds since sending, minus one: did not happen.
struct CallerResult
{
    RequestId id;
    int status = 0; ///< HTTP status; zero: no answer.
    std::string target;
    std::string verdict;
    std::string error; ///< Name of the error; empty: none.
    std::int64_t retryAfterMs = 0;
    std::int64_t firstTokenMicros = -1;
    std::int64_t totalMicros = -1;
    std::int64_t longestGapMicros = 0; ///< Longest time between two tokens.
    std::vector<std::string> tokens;
    bool isComplete = false; ///< Every token up to the end came, in order, once.
    bool isConnected = false; ///< False: no byte was sent, another address may be tried.
};

/// @brief Sends a completion and reads its stream to the end. Blocks; never throws.
CallerResult complete(const CallerRequest &request);

} // namespace egretmount::load
