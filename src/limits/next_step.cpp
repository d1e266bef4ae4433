#include <egretmount/limits/next_step.h>

namespace egretmount::limits {

namespace {

bool mayRunAgain(const fleet::Route &route)
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
    const bool isBeforeRun = failure == SendFailure::NotSent || failure == SendFailure::Declined;
    const bool hasTargetsLeft = history.mayHaveRun < route.maxTargets
                                && history.sends < route.maxTargets + maxDeclinedSends;
    const bool maySend = hasTargetsLeft && (history.mayHaveRun == 0 || mayRunAgain(route));
    if (history.hasAnswerBegun) {
        const bool mayResume = maySend && route.retrySemantics == fleet::RetrySemantics::Stream;
        return mayResume ? NextStep::ResumeElsewhere : NextStep::BreakOff;
    }
    if (maySend && (isBeforeRun || mayRunAgain(route)))
        return NextStep::SendAgain;
    return history.mayHaveRun == 0 ? NextStep::AnswerNotRun : NextStep::AnswerUnknown;
}

Verdict verdictOf(const SendHistory &history)
{
    return history.mayHaveRun == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace egretmount::limits
