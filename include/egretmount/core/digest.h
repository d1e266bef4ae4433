#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace egretmount {

/// @brief A SHA-256 digest or an HMAC over it, 32 bytes.
using Digest = std::array<std::uint8_t, 32>;

/// @brief Computes the SHA-256 digest. @complexity Linear in the number of bytes.
Digest sha256(std::string_view bytes);

/// @brief Computes the SHA-256 digest of bytes that arrive in pieces.
class DigestStream
{
public:
    DigestStream();
    ~DigestStream();
    DigestStream(DigestStream &&other) noexcept;
    DigestStream &operator=(DigestStream &&other) noexcept;

    /// @complexity Linear in the number of bytes.
    void add(std::string_view bytes);

    /// @brief Returns the digest of all bytes since the last call, and starts anew.
    Digest finish();

private:
    struct Context;
    std::unique_ptr<Context> m_context; ///< Null as long as there are no bytes.
};

/// @brief Computes the HMAC-SHA-256 of bytes. @complexity Linear in the number of bytes.
Digest hmacSha256(std::string_view key, std::string_view bytes);

/// @brief Compares two texts in a time that does not depend on where they differ.
/// @return False for texts of different lengths.
bool isEqualConstantTime(std::string_view a, std::string_view b);

/// @brief Formats a digest as 64 lower-case hexadecimal digits.
std::string toHex(const Digest &digest);

/// @brief Returns a view of the bytes of a digest, valid as long as the digest.
std::string_view bytesOf(const Digest &digest);

/// @brief Computes a 64-bit hash that is the same in every process. Not cryptographically secure.
/// @complexity Linear in the number of bytes.
std::uint64_t digestHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace egretmount
