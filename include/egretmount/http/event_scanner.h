#pragma once

#include <string>
#include <string_view>

namespace egretmount::http {

/// @brief Splits a `text/event-stream` body into complete events.
struct EventScanner
{
    std::string partial; ///< Bytes of the event that is not complete yet.
    std::string lastId; ///< The last `id` of a complete event; empty before the first.
    int count = 0; ///< Complete events so far.
};

/// @brief Appends bytes of the body. @return The events that are now complete, byte for byte.
///
/// An event that the sender does not finish stays in `partial`, so callers never see an incomplete
/// event.
/// @complexity Linear in the length of `partial` and `bytes`.
std::string extractEvents(EventScanner &scanner, std::string_view bytes);

} // namespace egretmount::http
