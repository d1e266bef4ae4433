// Splits a capacity over the first eight instances in rendezvous-hash order. The shares add up to
// the capacity.

#include <iostream>
#include <string>

#include <egretmount/credit/holders.h>

int main()
{
    using namespace egretmount;
    std::vector<InstanceId> listed;
    for (int i = 0; i < 12; ++i)
        listed.emplace_back("entry-" + std::to_string(i));
    const credit::ListedInstances listedInstances(listed);
    const std::vector<InstanceId> holders =
        listedInstances.topRanked(TargetId("engine-01"), credit::maxHolders);
    const config::Capacity capacity { 400'003, 5 };

    config::Capacity sum;
    for (std::size_t rank = 0; rank < holders.size(); ++rank) {
        const config::Capacity share = credit::shareOf(capacity, rank, listed.size());
        std::cout << "rank " << rank << ": " << share.tokens << " tokens, " << share.slots
                  << " slots\n";
        sum.tokens += share.tokens;
        sum.slots += share.slots;
    }
    std::cout << "sum: " << sum.tokens << " tokens, " << sum.slots << " slots\n";
}
