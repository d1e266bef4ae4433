#pragma once

#include <cstddef>
#include <vector>

#include <egretmount/core/ids.h>

namespace egretmount::placement {

/// @brief A part of the fleet that shares its knowledge of short requests.
///
/// Short requests are far more frequent than long ones. If each placement went to all instances,
/// the messages that one instance receives would grow with the fleet. Each cell therefore has a
/// part of the short pool, and a short request that is placed there is announced only within the
/// cell. All other requests are announced to all instances.
struct Cell
{
    int count = 1; ///< Number of cells of the fleet; a power of two.
    int index = 0; ///< Number of this cell, from zero.
    std::vector<InstanceId> members; ///< Its instances, sorted.
};

/// @brief Least number of instances for each cell if the fleet has several.
///
/// Smaller cells would estimate the demand from too few requests.
constexpr std::size_t minInstancesPerCell = 24;

/// @brief Least number of engines for each cell if the fleet has several.
///
/// Some of them are in the short pool, and a cell needs a few of those to choose from.
constexpr std::size_t minEnginesPerCell = 16;

/// @brief Computes the number of cells, a power of two, so that it rarely changes.
int cellCount(std::size_t instances, std::size_t engines);

/// @brief Returns the cell of an instance.
///
/// The cells are equal sections of the list of instances in the order of their hashes, so the loss
/// of an instance moves at most one instance between each two cells. Instances that know of
/// different members choose different cells for a while; this only makes their knowledge of each
/// other's requests incomplete.
/// @param living Living instances, including `self`; sorted.
/// @param engines Number of engines of the fleet.
/// @complexity N log N in the number of instances.
Cell cellOf(const InstanceId &self, const std::vector<InstanceId> &living, std::size_t engines);

} // namespace egretmount::placement
