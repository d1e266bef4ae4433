#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/schema.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount::membership {

/// @brief What the platform says of an instance.
enum class ListedState {
    Live,
    Leaving, ///< Will end soon; takes no new callers.
};

/// @brief One row of the platform's instance list.
struct ListedInstance
{
    InstanceId id;
    ZoneId zone;
    std::string httpAddress; ///< `IP:port` for callers.
    std::string rpcAddress; ///< `IP:port` for other instances.
    ListedState state = ListedState::Live;
};

/// @brief The platform's list of instances; it lags, with no sure bound. Sorted by id.
using InstanceList = std::vector<ListedInstance>;

/// @brief Specification of the sections of an instance list, `[instance.ID]`.
const std::vector<config::SectionSpec> &instanceListSpecs();

/// @brief Reads an instance list. @return The list or all problems found.
/// @complexity N log N in its length.
tl::expected<InstanceList, std::vector<config::Problem>> parseInstanceList(std::string_view text);

/// @brief Writes an instance list as INI text.
std::string writeInstanceList(const InstanceList &list);

/// @brief The row of an instance. @return Null if it is not listed.
const ListedInstance *findListed(const InstanceList &list, const InstanceId &id);

} // namespace egretmount::membership

namespace egretmount {

template<>
struct NameTable<membership::ListedState>
{
    static constexpr std::array<NameEntry<membership::ListedState>, 2> entries { {
        { membership::ListedState::Live, "live" },
        { membership::ListedState::Leaving, "leaving" },
    } };
};

} // namespace egretmount
