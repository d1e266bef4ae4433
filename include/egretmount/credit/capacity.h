#pragma once

#include <algorithm>

#include <egretmount/config/document.h>

namespace egretmount::config {

/// @brief Arithmetic on both currencies at once; all of it is constant in time.
constexpr Capacity operator+(const Capacity &a, const Capacity &b)
{
    return { a.tokens + b.tokens, a.slots + b.slots };
}

constexpr Capacity operator-(const Capacity &a, const Capacity &b)
{
    return { a.tokens - b.tokens, a.slots - b.slots };
}

} // namespace egretmount::config

namespace egretmount::credit {

using config::Capacity;

/// @brief The smaller amount of each currency.
constexpr Capacity componentMin(const Capacity &a, const Capacity &b)
{
    return { std::min(a.tokens, b.tokens), std::min(a.slots, b.slots) };
}

/// @brief The capacity with negative amounts replaced by zero.
constexpr Capacity clampToZero(const Capacity &a)
{
    return { std::max<TokenCount>(a.tokens, 0), std::max<std::int64_t>(a.slots, 0) };
}

/// @brief True if both currencies of `a` are at most those of `b`.
constexpr bool fitsInto(const Capacity &a, const Capacity &b)
{
    return a.tokens <= b.tokens && a.slots <= b.slots;
}

constexpr bool isNonPositive(const Capacity &a)
{
    return a.tokens <= 0 && a.slots <= 0;
}

} // namespace egretmount::credit
