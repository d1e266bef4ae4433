#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/schema.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount::membership {

/// @brief State of an instance as listed by the platform.
enum class ListedState {
    Live,
    Leaving, ///< Ends soon; receives no new callers.
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

/// @brief Instances as listed by the platform, sorted by id. The list may be out of date, without a
///        guaranteed bound.
using InstanceList = std::vector<ListedInstance>;

/// @brief Returns the specification of the `[instance.ID]` sections of an instance list.
const std::vector<config::SectionSpec> &instanceListSpecs();

/// @brief Parses an instance list from INI text. @return The list, or all problems found.
/// @complexity N log N in the length of the list.
tl::expected<InstanceList, std::vector<config::Problem>> parseInstanceList(std::string_view text);

/// @brief Serializes an instance list as INI text.
std::string writeInstanceList(const InstanceList &list);

/// @brief Finds the row of an instance. @return Null if it is not listed.
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
