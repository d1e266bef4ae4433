#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace egretmount {

/// @brief A SHA-256 digest or an HMAC over it, 32 bytes.
using Digest = std::array<std::uint8_t, 32>;

/// @brief SHA-256 of bytes. @complexity Linear in their number.
Digest sha256(std::string_view bytes);

/// @brief HMAC-SHA-256 of bytes under a key. @complexity Linear in their number.
Digest hmacSha256(std::string_view key, std::string_view bytes);

/// @brief Compares without revealing by its run time where two texts differ.
/// @return False for texts of different lengths.
bool isEqualConstantTime(std::string_view a, std::string_view b);

/// @brief Writes a digest as 64 lower-case hexadecimal digits.
std::string toHex(const Digest &digest);

/// @brief A view of the bytes of a digest; lives as long as the digest.
std::string_view bytesOf(const Digest &digest);

/// @brief A 64-bit hash that is the same in every process; not for secrets.
/// @complexity Linear in the number of bytes.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace egretmount
