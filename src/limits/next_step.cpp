#include <egretmount/limits/next_step.h>

#include <algorithm>
#include <cctype>
#include <string>

namespace egretmount::limits {

namespace {

// The content type without its parameters, in lower case.
std::string mediaType(const http::ResponseHead &head)
{
    std::string type(http::fieldValue(head.fields, "Content-Type").value_or(""));
    type.erase(std::min(type.find(';'), type.size()));
    type.erase(type.find_last_not_of(" \t") + 1);
    std::transform(type.begin(), type.end(), type.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return type;
}

} // namespace

bool isRepeatable(const fleet::Route &route)
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

bool continuesStream(const http::ResponseHead &begun, const http::ResponseHead &next)
{
    return next.status == begun.status && mediaType(next) == mediaType(begun)
           && http::fieldValue(next.fields, "Content-Encoding")
                  == http::fieldValue(begun.fields, "Content-Encoding");
}

NextStep nextStep(const fleet::Route &route, SendFailure failure, const SendHistory &history)
{
    const bool isNotExecuted = failure == SendFailure::NotSent || failure == SendFailure::Withheld
                               || failure == SendFailure::Declined;
    const bool hasTargetsLeft = history.possibleExecutions < route.maxTargets
                                && history.sends < route.maxTargets + maxDeclinedSends;
    const bool maySend = hasTargetsLeft && (history.possibleExecutions == 0 || isRepeatable(route));
    if (history.isResponseStarted) {
        const bool mayResume =
            maySend && history.canResume && route.retrySemantics == fleet::RetrySemantics::Stream;
        return mayResume ? NextStep::ResumeElsewhere : NextStep::AbortResponse;
    }
    if (maySend && (isNotExecuted || isRepeatable(route)))
        return NextStep::Retry;
    return history.possibleExecutions == 0 ? NextStep::RespondNotRun : NextStep::RespondUnknown;
}

Verdict verdictOf(const SendHistory &history)
{
    return history.possibleExecutions == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace egretmount::limits
