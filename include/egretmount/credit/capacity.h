#pragma once

#include <algorithm>

#include <egretmount/config/document.h>

namespace egretmount::config {

/// @brief Adds tokens and slots separately. @complexity Constant.
constexpr Capacity operator+(const Capacity &a, const Capacity &b)
{
    return { a.tokens + b.tokens, a.slots + b.slots };
}

/// @brief Subtracts tokens and slots separately; the result may be negative.
/// @complexity Constant.
constexpr Capacity operator-(const Capacity &a, const Capacity &b)
{
    return { a.tokens - b.tokens, a.slots - b.slots };
}

} // namespace egretmount::config

namespace egretmount::credit {

using config::Capacity;

/// @brief Returns the minimum of the tokens and the minimum of the slots.
constexpr Capacity componentMin(const Capacity &a, const Capacity &b)
{
    return { std::min(a.tokens, b.tokens), std::min(a.slots, b.slots) };
}

/// @brief Returns the capacity with negative amounts replaced by zero.
constexpr Capacity clampToZero(const Capacity &a)
{
    return { std::max<TokenCount>(a.tokens, 0), std::max<std::int64_t>(a.slots, 0) };
}

/// @brief Returns true if `b` has at least as many tokens and at least as many slots as `a`.
constexpr bool fitsInto(const Capacity &a, const Capacity &b)
{
    return a.tokens <= b.tokens && a.slots <= b.slots;
}

/// @brief Returns true if neither the tokens nor the slots are above zero.
constexpr bool isNonPositive(const Capacity &a)
{
    return a.tokens <= 0 && a.slots <= 0;
}

} // namespace egretmount::credit
