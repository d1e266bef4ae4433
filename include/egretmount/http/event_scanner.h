#pragma once

#include <string>
#include <string_view>

namespace egretmount::http {

/// @brief Splits a `text/event-stream` body into complete events.
struct EventScanner
{
    std::string partial; ///< Bytes of the event that is not complete yet.
    std::string lastId; ///< The `id` of the last complete event; empty if it has none.
    int count = 0; ///< Complete events and comments so far.
    bool hasEvents = false; ///< There was an event that is not only a comment.
    bool isResumed = false; ///< The bytes are those of a response that resumes the stream.
    bool hasContinued = false; ///< That response has had an event.
    bool isOutOfOrder = false; ///< An event of that response does not follow `lastId`.
    bool isTooLong = false; ///< An event is longer than `maxEventBytes`.
};

/// @brief Greatest length of one event, many times that of the longest which engines send.
constexpr std::size_t maxEventBytes = 256UL * 1024;

/// @brief Returns whether the stream can be resumed after the events so far: there are none, or the
///        id of the last one is a number. Other ids have no known order.
bool canResume(const EventScanner &scanner);

/// @brief Makes the scanner expect the continuation of a stream that was received elsewhere.
/// @param lastId Id of the last event there. Does nothing if it is no number.
void continueAfter(EventScanner &scanner, std::string_view lastId);

/// @brief Prepares the scanner for the response that resumes the stream, or that starts it anew if
///        there was no event yet. Drops the incomplete event.
void beginNextResponse(EventScanner &scanner);

/// @brief Appends bytes of the body. @return The events that are now complete, byte for byte.
///
/// After an event that is too long, nothing more is returned. One that the sender does not finish
/// stays in `partial`, so callers never see an incomplete event. In a response that resumes the
/// stream, ids must increase: the first event whose id does not, or text that is neither an event
/// nor a comment, sets `isOutOfOrder`, and neither it nor anything after it is returned.
/// @complexity Linear in the length of `bytes`, amortized over the calls for one stream.
std::string extractEvents(EventScanner &scanner, std::string_view bytes);

} // namespace egretmount::http
