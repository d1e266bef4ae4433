#pragma once

#include <string>
#include <string_view>

namespace egretmount::http {

/// @brief Cuts a `text/event-stream` body into whole events.
struct EventScanner
{
    std::string partial; ///< Bytes of an event that has not ended.
    std::string lastId; ///< The id of the last whole event; empty before the first.
    int count = 0; ///< Whole events so far.
};

/// @brief Takes in bytes of the body. @return The whole events in them, byte for byte.
///
/// An event that the sender breaks off stays in `partial`, so a caller never sees half of one.
/// @complexity Linear in the bytes.
std::string extractEvents(EventScanner &scanner, std::string_view bytes);

} // namespace egretmount::http
