#pragma once

#include <cstdint>

namespace egretmount::limits {

/// @brief What a target reports after it has closed the connection of a response without a length.
struct EndReport
{
    bool isListening =
        false; ///< Its port, or that of a proxy before it, has accepted a connection.
    bool hasResponded = false; ///< It has responded to a request there.
    std::int64_t startedAt = 0; ///< Its start stamp; zero: it reports none.
    bool lacksStamp = false; ///< It reports none, and has not said that it has no reports.
};

/// @brief Returns whether a target that ended a connection within a response has crashed.
/// @param startedAt Start stamp of the target when the request was sent; zero if it has none.
bool hasRestartedOrEnded(const EndReport &report, std::int64_t startedAt);

/// @brief Returns whether a response that ended with its connection is whole.
///
/// The kernel closes the connections of a killed process in the same way as the process itself does
/// at the end of a response. Only a process that is still running can have meant it as the end.
/// @param startedAt Start stamp of the target that the request was sent to; zero: not known.
bool isEndConfirmed(const EndReport &report, std::int64_t startedAt);

/// @brief Greatest number of times that a target is asked about the end of one response.
constexpr int maxEndChecks = 3;

/// @brief Returns whether to ask a target again: a connection was accepted and there was no
///        response, which is what a target at its connection limit does, and also a proxy whose
///        target was killed.
/// @param checks How often the target has been asked.
bool isEndUncertain(const EndReport &report, int checks);

} // namespace egretmount::limits
