#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>
#include <egretmount/core/verdict.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::limits {

/// @brief How a send to a target failed.
enum class SendFailure {
    NotSent, ///< No byte left this instance: no connection, or none was tried.
    Declined, ///< The target states that it did not execute the request.
    Broken, ///< The connection ended or fell silent; the target may have executed the request.
    ExecutionFailed, ///< The target answered that its run failed.
};

/// @brief What a request has been through so far.
struct SendHistory
{
    int sends = 0; ///< Targets to which bytes of it went.
    int possibleExecutions = 0; ///< Those that may have executed it.
    bool isResponseStarted = false; ///< The caller has a part of the answer.
};

/// @brief What to do after a failed send.
enum class NextStep {
    Retry, ///< To another target, if the retry budget allows.
    ResumeElsewhere, ///< The same, behind the last event the caller has.
    RespondNotRun, ///< Final: it has not run and never will.
    RespondUnknown, ///< Final: it may have run.
    AbortResponse, ///< Final: the caller has a part of the answer; end the connection.
};

/// @brief Sends of one request beyond the targets that may execute it.
///
/// A target that declines has not executed the request, but each further send uses the budget.
constexpr int maxDeclinedSends = 2;

/// @brief Decides what a failed send means for its request.
NextStep nextStep(const fleet::Route &route, SendFailure failure, const SendHistory &history);

/// @brief What is known of the execution of a request with that history.
Verdict verdictOf(const SendHistory &history);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::SendFailure>
{
    using SendFailure = egretmount::limits::SendFailure;
    static constexpr std::array<NameEntry<SendFailure>, 4> entries { {
        { SendFailure::NotSent, "not-sent" },
        { SendFailure::Declined, "declined" },
        { SendFailure::Broken, "broken" },
        { SendFailure::ExecutionFailed, "failed-run" },
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
