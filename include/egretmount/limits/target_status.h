#pragma once

#include <egretmount/core/names.h>
#include <egretmount/core/verdict.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::limits {

/// @brief What becomes of the response of a target that does not state `NotRun`.
enum class ResponseUse {
    Deliver, ///< The caller gets it, whatever it says.
    RetryOrDeliver, ///< The execution failed. Without a retry, the caller gets this response.
    RetryOrReplace, ///< The same, but the caller would misread the status and gets another one.
};

/// @brief Returns whether a status tells a caller that its request was not executed and never will
///        be: 408, 421, 429 or 503.
bool promisesNotRun(int status);

/// @brief Returns what the response of a target proves about the execution.
///
/// | Status | stated not to be executed | not stated |
/// | --- | --- | --- |
/// | 421 | `NotRun` | `NotRun`: another target uses the address |
/// | 408, 429, 503 | `NotRun` | `MayHaveRun` |
/// | any other | `NotRun` | `Ran` |
///
/// @param isStatedNotRun The target states that it did not execute the request.
Verdict verdictOf(int status, bool isStatedNotRun);

/// @brief Chooses what becomes of a response that does not prove `NotRun`, before any of it is
///        passed on.
///
/// Callers repeat requests after a status that promises that they were not executed. Such a status
/// is therefore passed on only to callers that may repeat the request in any case.
///
/// @code
/// useOf(atMostOnceRoute, 429); // RetryOrReplace: the caller gets a 502
/// useOf(idempotentRoute, 429); // RetryOrDeliver
/// useOf(atMostOnceRoute, 404); // Deliver
/// @endcode
ResponseUse useOf(const fleet::Route &route, int status);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::ResponseUse>
{
    using ResponseUse = egretmount::limits::ResponseUse;
    static constexpr std::array<NameEntry<ResponseUse>, 3> entries { {
        { ResponseUse::Deliver, "deliver" },
        { ResponseUse::RetryOrDeliver, "retry-or-deliver" },
        { ResponseUse::RetryOrReplace, "retry-or-replace" },
    } };
};
