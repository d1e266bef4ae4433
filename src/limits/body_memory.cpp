#include <egretmount/limits/body_memory.h>

#include <algorithm>
#include <utility>

namespace egretmount::limits {

namespace {

constexpr double bytesPerMb = 1024.0 * 1024.0;
constexpr double maxMemoryMb = 1e9; // the number of bytes must fit its type

// Returns the memory that a body of this size may use up to.
std::size_t limitFor(std::size_t bytes, std::size_t limit)
{
    if (bytes <= smallBodyBytes)
        return limit;
    return limit - static_cast<std::size_t>(static_cast<double>(limit) * smallBodyShare);
}

} // namespace

BodyMemory bodyMemory(std::optional<double> memoryMb)
{
    BodyMemory memory;
    if (memoryMb)
        memory.limit = static_cast<std::size_t>(std::min(*memoryMb, maxMemoryMb) * bytesPerMb
                                                * bodyMemoryShare);
    return memory;
}

BodyReservation &BodyReservation::operator=(BodyReservation &&other) noexcept
{
    BodyReservation released;
    released.swap(*this);
    swap(other);
    return *this;
}

BodyReservation::~BodyReservation()
{
    if (m_memory)
        m_memory->used -= m_bytes;
}

bool BodyReservation::cover(std::size_t bytes)
{
    if (!m_memory || bytes <= m_bytes)
        return true;
    const std::size_t others = m_memory->used - m_bytes;
    if (m_memory->limit && others > 0 && others + bytes > limitFor(bytes, *m_memory->limit))
        return false;
    m_memory->used = others + bytes;
    m_bytes = bytes;
    return true;
}

void BodyReservation::swap(BodyReservation &other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_bytes, other.m_bytes);
}

} // namespace egretmount::limits
