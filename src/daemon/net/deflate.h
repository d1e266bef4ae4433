#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace egretmount::net {

/// @brief Compresses bytes in the zlib format, which HTTP calls `deflate`. Favours speed over size.
/// @pre `bytes` is not empty.
std::string deflate(const std::string &bytes);

/// @brief Decompresses bytes in the zlib format.
/// @param maxBytes Greatest size of the result.
/// @return Nothing if the input is malformed, breaks off, or the result would be larger.
std::optional<std::string> inflate(const std::string &bytes, std::size_t maxBytes);

} // namespace egretmount::net
