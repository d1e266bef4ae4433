#pragma once

#include <cstddef>

#include <egretmount/core/clock.h>
#include <egretmount/core/length_class.h>
#include <egretmount/core/names.h>

namespace egretmount::routing {

/// @brief How short and long requests share the targets of a service.
enum class LanePolicy {
    Elastic, ///< Long prompts keep to a pool of targets that follows their backlog.
    Static, ///< Long prompts have a fixed half of the targets, all others the other half.
    Priority, ///< One queue by arrival; engines run short prompts first.
    Fifo, ///< One queue by arrival; engines know no classes.
};

/// @brief Which targets, in the common order of a service, take long prompts: the first `longPool`.
struct PoolSizes
{
    std::size_t longPool = 0;
    std::size_t shortReserve = 0; ///< Targets at the end of the order that never take long prompts.
};

/// @brief Work of a service by length, as one instance sees it.
struct LengthDemand
{
    double shortTokens = 0; ///< Decaying sum of the short and medium prompts that arrived.
    double longTokens = 0; ///< The same of long prompts.
    TokenCount longBacklog = 0; ///< Long prompts, queued or without a first token.
    Milliseconds updatedAt;
};

/// @brief True for the classes that keep to the pool.
constexpr bool isLongClass(LengthClass length)
{
    return length == LengthClass::Long || length == LengthClass::Huge;
}

/// @brief Takes in the arrival of a prompt. @complexity Constant.
void recordArrival(LengthDemand &demand, TokenCount promptTokens, Milliseconds now);

/// @brief Sizes of the pools for a service with `targets` usable targets.
/// @param prefillTokensPerMs Rate of one target.
/// @complexity Constant.
PoolSizes poolSizes(LanePolicy policy, const LengthDemand &demand, std::size_t targets,
                    double prefillTokensPerMs);

/// @brief The priority that is stated to the engine.
/// @param level Of the team's priority.
/// @param isWithinShare The team uses no more than its share, so it goes before those that do.
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
