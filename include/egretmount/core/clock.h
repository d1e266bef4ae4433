#pragma once

#include <cstdint>

namespace egretmount {

/// @brief A time point or a duration in whole milliseconds.
///
/// Time points count from an arbitrary epoch and never go backwards. Decision functions take the
/// current time as an argument, so that tests can replay them.
class Milliseconds
{
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(std::int64_t count)
        : m_count(count)
    { }

    constexpr std::int64_t count() const { return m_count; }

    constexpr Milliseconds &operator+=(Milliseconds other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Milliseconds &operator-=(Milliseconds other)
    {
        m_count -= other.m_count;
        return *this;
    }

    friend constexpr Milliseconds operator+(Milliseconds a, Milliseconds b) { return a += b; }
    friend constexpr Milliseconds operator-(Milliseconds a, Milliseconds b) { return a -= b; }
    friend constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor)
    {
        return Milliseconds(a.m_count * factor);
    }
    friend constexpr Milliseconds operator/(Milliseconds a, std::int64_t divisor)
    {
        return Milliseconds(a.m_count / divisor);
    }
    friend constexpr bool operator==(Milliseconds a, Milliseconds b)
    {
        return a.m_count == b.m_count;
    }
    friend constexpr bool operator!=(Milliseconds a, Milliseconds b) { return !(a == b); }
    friend constexpr bool operator<(Milliseconds a, Milliseconds b)
    {
        return a.m_count < b.m_count;
    }
    friend constexpr bool operator>(Milliseconds a, Milliseconds b) { return b < a; }
    friend constexpr bool operator<=(Milliseconds a, Milliseconds b) { return !(b < a); }
    friend constexpr bool operator>=(Milliseconds a, Milliseconds b) { return !(a < b); }

private:
    std::int64_t m_count = 0;
};

namespace literals {

/// @brief Literal suffix for durations, as in `250_ms`.
constexpr Milliseconds operator""_ms(unsigned long long count)
{
    return Milliseconds(static_cast<std::int64_t>(count));
}

} // namespace literals

/// @brief Reads the monotonic clock of this machine. @complexity Constant.
Milliseconds monotonicNow();

} // namespace egretmount
