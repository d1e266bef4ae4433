#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>
#include <egretmount/core/verdict.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/http/head.h>

namespace egretmount::limits {

/// @brief How sending a request to a target failed.
enum class SendFailure {
    NotSent, ///< No byte was sent: the connection failed or was not attempted.
    Withheld, ///< No byte was sent: while it connected, the target left or turned requests away.
    Declined, ///< The target reported that it did not execute the request.
    Broken, ///< The connection closed or stalled; the target may have executed the request.
    ExecutionFailed, ///< The target reported that the execution failed.
    NotContinued, ///< The response does not continue the stream that the caller is receiving.
};

/// @brief Attempts made for a request so far.
struct SendHistory
{
    int sends = 0; ///< Number of targets that the request was sent to.
    int possibleExecutions = 0; ///< Number of these targets that may have executed the request.
    bool isResponseStarted = false; ///< The caller has received part of the response.
    bool canResume = false; ///< That part is whole events, after which the stream can be resumed.
};

/// @brief Action after a failed send.
enum class NextStep {
    Retry, ///< Send the request to another target, if the retry budget allows.
    ResumeElsewhere, ///< As `Retry`, but resume the stream after the last event the caller has.
    RespondNotRun, ///< Fail the request: no target has executed it or will do so.
    RespondUnknown, ///< Fail the request: a target may have executed it.
    AbortResponse, ///< Close the connection: the caller has received part of the response.
};

/// @brief Maximum number of sends of one request beyond its route's `maxTargets`.
///
/// A target that declines does not count towards `maxTargets`, as it has not executed the request.
/// The number of sends is still limited because each retry uses the retry budget.
constexpr int maxDeclinedSends = 2;

/// @brief Returns whether a request of the route may be executed more than once: idempotent ones
///        and resumable streams.
bool isRepeatable(const fleet::Route &route);

/// @brief Chooses the next step for a request after a failed send.
///
/// A request that may have been executed is sent again only if its route is repeatable.
/// @param history The attempts so far, including the failed one if bytes of it were sent. A target
///                that declined is not counted as a possible execution.
NextStep nextStep(const fleet::Route &route, SendFailure failure, const SendHistory &history);

/// @brief Returns whether a target's response may continue a stream of another target.
///
/// An error, or content that is no stream, is complete in itself. Passing its end on would make the
/// part that the caller has look like the whole.
/// @param begun The head of the response that the caller has received.
bool continuesStream(const http::ResponseHead &begun, const http::ResponseHead &next);

/// @brief Returns the execution status of a request with the given history.
Verdict verdictOf(const SendHistory &history);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::SendFailure>
{
    using SendFailure = egretmount::limits::SendFailure;
    static constexpr std::array<NameEntry<SendFailure>, 6> entries { {
        { SendFailure::NotSent, "not-sent" },
        { SendFailure::Withheld, "withheld" },
        { SendFailure::Declined, "declined" },
        { SendFailure::Broken, "broken" },
        { SendFailure::ExecutionFailed, "failed-run" },
        { SendFailure::NotContinued, "not-continued" },
    } };
};

template<>
struct egretmount::NameTable<egretmount::limits::NextStep>
{
    using NextStep = egretmount::limits::NextStep;
    static constexpr std::array<NameEntry<NextStep>, 5> entries { {
        { NextStep::Retry, "send-again" },
        { NextStep::ResumeElsewhere, "resume-elsewhere" },
        { NextStep::RespondNotRun, "answer-not-run" },
        { NextStep::RespondUnknown, "answer-unknown" },
        { NextStep::AbortResponse, "break-off" },
    } };
};
