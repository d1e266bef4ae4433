#pragma once

#include <cstdint>

#include <egretmount/core/clock.h>

namespace egretmount {

/// @brief A small reproducible pseudorandom number generator (SplitMix64). Not cryptographically
///        secure.
///
/// Decision functions take a generator as an argument, so that a run can be replayed from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    { }

    /// @brief Returns the next 64 random bits.
    std::uint64_t next();

    /// @brief Returns a number from 0 to `bound - 1`. @pre `bound` is above zero.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// @brief Returns a number in the half-open range [0, 1).
    double fraction();

    /// @brief Returns a duration from `low` to `high`, both included. @pre `low <= high`.
    Milliseconds between(Milliseconds low, Milliseconds high);

private:
    std::uint64_t m_state;
};

} // namespace egretmount
