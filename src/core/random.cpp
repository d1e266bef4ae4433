#include <egretmount/core/random.h>

namespace egretmount {

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

double Random::fraction()
{
    constexpr double twoToThe53 = 9007199254740992.0;
    return static_cast<double>(next() >> 11U) / twoToThe53;
}

Milliseconds Random::between(Milliseconds low, Milliseconds high)
{
    const std::uint64_t span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Milliseconds(static_cast<std::int64_t>(below(span)));
}

} // namespace egretmount
