#pragma once

#include <cstddef>
#include <memory>
#include <optional>

namespace egretmount::limits {

/// @brief Memory in bytes for the bodies of the requests that are in hand at the same time.
struct BodyMemory
{
    std::optional<std::size_t> limit; ///< Empty: unlimited.
    std::size_t used = 0;
};

/// @brief Part of an instance's memory that request bodies may take.
///
/// The rest is for the process itself, its tables of targets and instances, and responses.
constexpr double bodyMemoryShare = 0.4;

/// @brief Greatest size in bytes of a body that counts as small.
constexpr std::size_t smallBodyBytes = 64UL * 1024;

/// @brief Part of the limit that is kept for small bodies, so that a few large requests do not
///        cause the refusal of many small ones.
constexpr double smallBodyShare = 0.25;

/// @brief Returns the memory for request bodies of an instance.
/// @param memoryMb Memory of the instance in MB; empty: unknown, and the bodies are not limited.
BodyMemory bodyMemory(std::optional<double> memoryMb);

/// @brief A part of a `BodyMemory` that one body takes, released at the end of its lifetime.
///
/// @code
/// BodyReservation reservation(memory);
/// if (!reservation.cover(4'000'000))
///     return refuse();
/// @endcode
class BodyReservation
{
public:
    BodyReservation() = default;

    /// @param memory Null: nothing is limited.
    explicit BodyReservation(std::shared_ptr<BodyMemory> memory)
        : m_memory(std::move(memory))
    { }
    BodyReservation(BodyReservation &&other) noexcept { swap(other); }
    BodyReservation &operator=(BodyReservation &&other) noexcept;
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;
    ~BodyReservation();

    /// @brief Reserves memory for a body of this size in bytes, in addition to what is reserved.
    ///        Does nothing if that is enough.
    ///
    /// A body is always covered if no other takes memory, whatever its size.
    /// @return False if there is too little memory. What was reserved before stays reserved.
    bool cover(std::size_t bytes);

private:
    void swap(BodyReservation &other) noexcept;

    std::shared_ptr<BodyMemory> m_memory;
    std::size_t m_bytes = 0;
};

} // namespace egretmount::limits
