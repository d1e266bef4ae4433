#include <egretmount/limits/next_step.h>

namespace egretmount::limits {

namespace {

bool isRetryable(const fleet::Route &route)
{
    switch (route.retrySemantics) {
    case fleet::RetrySemantics::Idempotent:
        return true;
    case fleet::RetrySemantics::AtMostOnce:
        return false;
    case fleet::RetrySemantics::Stream:
        return route.isResumable;
    }
    return false;
}

} // namespace

NextStep nextStep(const fleet::Route &route, SendFailure failure, const SendHistory &history)
{
    const bool isNotExecuted = failure == SendFailure::NotSent || failure == SendFailure::Declined;
    const bool hasTargetsLeft = history.possibleExecutions < route.maxTargets
                                && history.sends < route.maxTargets + maxDeclinedSends;
    const bool maySend = hasTargetsLeft && (history.possibleExecutions == 0 || isRetryable(route));
    if (history.isResponseStarted) {
        const bool mayResume = maySend && route.retrySemantics == fleet::RetrySemantics::Stream;
        return mayResume ? NextStep::ResumeElsewhere : NextStep::AbortResponse;
    }
    if (maySend && (isNotExecuted || isRetryable(route)))
        return NextStep::Retry;
    return history.possibleExecutions == 0 ? NextStep::RespondNotRun : NextStep::RespondUnknown;
}

Verdict verdictOf(const SendHistory &history)
{
    return history.possibleExecutions == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace egretmount::limits
