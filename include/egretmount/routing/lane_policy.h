#pragma once

#include <cstddef>

#include <egretmount/core/clock.h>
#include <egretmount/core/length_class.h>
#include <egretmount/core/names.h>

namespace egretmount::routing {

/// @brief How short and long requests share the targets of a service.
enum class LanePolicy {
    Elastic, ///< Long prompts use a pool of targets that is sized by their backlog.
    Static, ///< Long prompts use one half of the targets, all others the other half.
    Priority, ///< One queue in arrival order; engines process short prompts first.
    Fifo, ///< One queue in arrival order; engines get no priorities.
};

/// @brief Pool sizes of a service. The first `longPool` targets of its order process long prompts.
struct PoolSizes
{
    std::size_t longPool = 0;
    std::size_t shortReserve = 0; ///< Targets at the end of the order without long prompts.
};

/// @brief Demand for a service by prompt length, as seen by one instance.
struct LengthDemand
{
    double shortTokens = 0; ///< Decaying sum of arrived short and medium prompts.
    double longTokens = 0; ///< Decaying sum of arrived long prompts.
    TokenCount longBacklog = 0; ///< Long prompt tokens, queued or without a first token.
    Milliseconds updatedAt;
};

/// @brief Returns true for the length classes that are restricted to the long pool.
constexpr bool isLongClass(LengthClass length)
{
    return length == LengthClass::Long || length == LengthClass::Huge;
}

/// @brief Adds an arrived prompt to the demand. @complexity Constant.
void recordArrival(LengthDemand &demand, TokenCount promptTokens, Milliseconds now);

/// @brief Computes the pool sizes for a service with `targets` usable targets.
/// @param prefillTokensPerMs Prefill rate of one target.
/// @complexity Constant.
PoolSizes poolSizes(LanePolicy policy, const LengthDemand &demand, std::size_t targets,
                    double prefillTokensPerMs);

/// @brief Returns the priority that is sent to the engine with a request.
/// @param level Level of the team's priority.
/// @param isWithinShare The team uses no more than its fair share. Its requests then get a higher
///                      priority than those of teams that exceed theirs.
int enginePriority(LanePolicy policy, LengthClass length, int level, bool isWithinShare);

} // namespace egretmount::routing

namespace egretmount {

template<>
struct NameTable<routing::LanePolicy>
{
    static constexpr std::array<NameEntry<routing::LanePolicy>, 4> entries { {
        { routing::LanePolicy::Elastic, "elastic" },
        { routing::LanePolicy::Static, "static" },
        { routing::LanePolicy::Priority, "priority" },
        { routing::LanePolicy::Fifo, "fifo" },
    } };
};

} // namespace egretmount
