#pragma once

#include <optional>
#include <vector>

#include <egretmount/core/ids.h>
#include <egretmount/credit/capacity.h>

namespace egretmount::credit {

/// @brief Most instances that hold credits of one target.
constexpr std::size_t maxHolders = 8;

/// @brief Instances with a hash each, so that an order for a target costs one mix an instance.
class ListedInstances
{
public:
    ListedInstances() = default;
    explicit ListedInstances(const std::vector<InstanceId> &listed);

    /// @brief The first instances of the target's rendezvous order.
    /// @param count Most instances returned.
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

    std::vector<Member> m_members; // sorted by id
};

/// @brief The share of the holder with a rank when a capacity is split.
/// @param capacity Capacity of the target; `tokens` of zero means that tokens do not count.
/// @param rank Place in the target's rendezvous order, from zero.
/// @param listed Number of instances on the list.
/// @return Nothing for ranks beyond the holders. With fewer slots or tokens than holders, the first
///         ranks hold one each.
/// @complexity Constant.
Capacity shareOf(const Capacity &capacity, std::size_t rank, std::size_t listed);

} // namespace egretmount::credit
