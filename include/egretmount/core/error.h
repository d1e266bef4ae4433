#pragma once

#include <string>
#include <tl/expected.hpp>

#include <egretmount/core/clock.h>
#include <egretmount/core/verdict.h>

namespace egretmount {

/// @brief Stable identifiers of the errors that are reported to callers and operators.
///
/// A number never changes its meaning. 1xx: the request itself, 2xx: configuration, 3xx: admission,
/// 4xx: targets, 5xx: calls that must not be repeated, 6xx: streams, 7xx: instances and peers.
enum class ErrorId {
    MalformedRequest = 101,
    UnknownPath = 102,
    Unauthenticated = 103,
    UnknownService = 104,
    BodyTooLarge = 105,
    DeadlinePassed = 106,
    PromptTooLong = 107,
    InvalidDocument = 201,
    StaleDocument = 202,
    Overloaded = 301,
    DeadlineUnreachable = 302,
    TeamLimitReached = 303,
    NoTargetAvailable = 401,
    TargetFailed = 402,
    TicketRequired = 501,
    TicketInvalid = 502,
    TicketExpired = 503,
    PermitRefused = 504,
    StreamInterrupted = 601,
    NotReady = 701,
    ShuttingDown = 702,
    PeerUnreachable = 703,
};

template<>
struct NameTable<ErrorId>
{
    static constexpr std::array<NameEntry<ErrorId>, 22> entries { {
        { ErrorId::MalformedRequest, "malformed-request" },
        { ErrorId::UnknownPath, "unknown-path" },
        { ErrorId::Unauthenticated, "unauthenticated" },
        { ErrorId::UnknownService, "unknown-service" },
        { ErrorId::BodyTooLarge, "body-too-large" },
        { ErrorId::DeadlinePassed, "deadline-passed" },
        { ErrorId::PromptTooLong, "prompt-too-long" },
        { ErrorId::InvalidDocument, "invalid-document" },
        { ErrorId::StaleDocument, "stale-document" },
        { ErrorId::Overloaded, "overloaded" },
        { ErrorId::DeadlineUnreachable, "deadline-unreachable" },
        { ErrorId::TeamLimitReached, "team-limit-reached" },
        { ErrorId::NoTargetAvailable, "no-target-available" },
        { ErrorId::TargetFailed, "target-failed" },
        { ErrorId::TicketRequired, "ticket-required" },
        { ErrorId::TicketInvalid, "ticket-invalid" },
        { ErrorId::TicketExpired, "ticket-expired" },
        { ErrorId::PermitRefused, "permit-refused" },
        { ErrorId::StreamInterrupted, "stream-interrupted" },
        { ErrorId::NotReady, "not-ready" },
        { ErrorId::ShuttingDown, "shutting-down" },
        { ErrorId::PeerUnreachable, "peer-unreachable" },
    } };
};

/// @brief Reason why a request received no complete response.
struct Error
{
    ErrorId id = ErrorId::MalformedRequest;
    Verdict verdict = Verdict::NotRun;
    std::string detail; ///< One sentence for the caller; never a token, key or prompt text.
    Milliseconds retryAfter; ///< Zero: a retry does not help.
};

/// @brief A value, or the error that prevented it.
template<typename Value>
using Result = tl::expected<Value, Error>;

/// @brief Creates the error value for a function that returns a `Result`.
tl::unexpected<Error> fail(ErrorId id, Verdict verdict, std::string detail,
                           Milliseconds retryAfter = Milliseconds());

} // namespace egretmount
