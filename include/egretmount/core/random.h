#pragma once

#include <cstdint>

#include <egretmount/core/clock.h>

namespace egretmount {

/// @brief A small reproducible generator of random numbers (SplitMix64); not for secrets.
///
/// Decision code takes one as an argument, so that a run can be replayed from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    { }

    /// @brief The next 64 random bits. @complexity Constant.
    std::uint64_t next();

    /// @brief A number from 0 to `bound - 1`. @pre `bound` is above zero.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// @brief A fraction from 0 up to, not including, 1.
    double fraction();

    /// @brief A duration from `low` to `high`, both included. @pre `low <= high`.
    Milliseconds between(Milliseconds low, Milliseconds high);

private:
    std::uint64_t m_state;
};

} // namespace egretmount
