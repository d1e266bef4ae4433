#pragma once

#include <optional>
#include <vector>

#include <egretmount/core/ids.h>
#include <egretmount/credit/capacity.h>

namespace egretmount::credit {

/// @brief Maximum number of instances that hold credits of one target.
constexpr std::size_t maxHolders = 8;

/// @brief The instances of a list with precomputed hashes. Ranking them for a target then mixes two
///        hashes per instance and hashes no instance names.
class ListedInstances
{
public:
    ListedInstances() = default;
    explicit ListedInstances(const std::vector<InstanceId> &listed);

    /// @brief Returns the first instances of a target's rendezvous order.
    /// @param count Maximum number of instances to return.
    /// @complexity Linear in the number of instances.
    std::vector<InstanceId> topRanked(const TargetId &target, std::size_t count) const;

    std::size_t size() const { return m_members.size(); }
    bool contains(const InstanceId &id) const;

private:
    struct Member
    {
        InstanceId id;
        std::uint64_t hash = 0;
    };

    std::vector<Member> m_members; // sorted by id, for binary search
};

/// @brief Computes one holder's share of a capacity. The shares of all ranks add up to it
///        exactly, unless it has no slots.
/// @param capacity Capacity of the target. With zero `tokens`, only the slots are limited.
/// @param rank Position in the target's rendezvous order, starting at zero.
/// @param listed Number of instances on the list.
/// @return A zero capacity if the rank holds no share. If there are fewer slots or tokens than
///         holders, each of the first ranks gets one.
/// @complexity Constant.
Capacity shareOf(const Capacity &capacity, std::size_t rank, std::size_t listed);

} // namespace egretmount::credit
