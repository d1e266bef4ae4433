#pragma once

#include <cstddef>
#include <optional>

namespace egretmount::limits {

/// @brief Part of an instance's memory that the buffered parts of all responses may take.
constexpr double responseMemoryShare = 0.2;

/// @brief Limits in bytes for the buffered part of one response.
constexpr std::size_t minResponseBuffer = 16UL * 1024;
constexpr std::size_t maxResponseBuffer = 256UL * 1024;

/// @brief Returns how many bytes of one response may be buffered: an even share of the memory for
///        all responses, between the limits for one.
/// @param memoryMb Memory of the instance in MB; empty: unknown, and the share is the greatest.
/// @param requests Number of requests in hand, each with a response to come or in progress.
///
/// @code
/// responseBuffer(260, 10); // 256 KiB
/// responseBuffer(260, 1'000); // 54,525 bytes
/// @endcode
std::size_t responseBuffer(std::optional<double> memoryMb, std::size_t requests);

} // namespace egretmount::limits
