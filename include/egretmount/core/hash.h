#pragma once

#include <cstdint>
#include <string_view>

namespace egretmount {

/// @brief Computes a 64-bit hash that is the same on every instance (FNV-1a with a final mix).
///
/// Not cryptographically secure: whoever chooses the text can choose the hash.
/// @complexity Linear in the length of the text.
constexpr std::uint64_t stableHash(std::string_view text,
                                   std::uint64_t seed = 0xcbf29ce484222325ULL)
{
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace egretmount
