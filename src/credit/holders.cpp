#include <egretmount/credit/holders.h>

#include <algorithm>

#include <egretmount/core/digest.h>
#include <egretmount/core/random.h>

namespace egretmount::credit {

namespace {

struct RankedInstance
{
    std::uint64_t weight = 0;
    const InstanceId *id = nullptr;

    friend bool operator<(const RankedInstance &a, const RankedInstance &b)
    {
        return a.weight != b.weight ? a.weight > b.weight : *a.id < *b.id;
    }
};

std::int64_t equalShare(std::int64_t whole, std::size_t rank, std::size_t holders)
{
    const std::int64_t count = static_cast<std::int64_t>(holders);
    return whole / count + (static_cast<std::int64_t>(rank) < whole % count ? 1 : 0);
}

} // namespace

ListedInstances::ListedInstances(const std::vector<InstanceId> &listed)
{
    for (const InstanceId &id : listed)
        m_members.push_back({ id, digestHash(id.value) });
    std::sort(m_members.begin(), m_members.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
}

std::vector<InstanceId> ListedInstances::topRanked(const TargetId &target, std::size_t count) const
{
    const std::uint64_t targetHash = digestHash(target.value);
    std::vector<RankedInstance> ranked;
    ranked.reserve(m_members.size());
    for (const Member &member : m_members)
        ranked.push_back({ Random(member.hash ^ targetHash).next(), &member.id });
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end());
    std::vector<InstanceId> first;
    for (std::size_t i = 0; i < kept; ++i)
        first.push_back(*ranked[i].id);
    return first;
}

bool ListedInstances::contains(const InstanceId &id) const
{
    return std::binary_search(m_members.begin(), m_members.end(), Member { id, 0 },
                              [](const Member &a, const Member &b) { return a.id < b.id; });
}

Capacity shareOf(const Capacity &capacity, std::size_t rank, std::size_t listed)
{
    std::size_t holders = std::min(maxHolders, listed);
    holders =
        std::min(holders, static_cast<std::size_t>(std::max<std::int64_t>(capacity.slots, 0)));
    if (capacity.tokens > 0)
        holders = std::min(holders, static_cast<std::size_t>(capacity.tokens));
    if (rank >= holders)
        return {};
    return { equalShare(capacity.tokens, rank, holders),
             equalShare(capacity.slots, rank, holders) };
}

} // namespace egretmount::credit
