#include <egretmount/limits/team_share.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace egretmount::limits {

namespace {

// Numbers of requests of equally active teams differ by chance, mostly by less than this.
constexpr double chanceDeviations = 2;

double total(const TeamLoad &load)
{
    double sum = 0;
    for (const auto &[team, requests] : load)
        sum += requests;
    return sum;
}

} // namespace

void addTeamLoad(TeamLoad &load, TeamKey team, double requests)
{
    if (team != 0)
        load[team] += requests;
}

double fairShare(const TeamLoad &load, double capacity)
{
    std::vector<double> ascending;
    ascending.reserve(load.size());
    for (const auto &[team, requests] : load)
        ascending.push_back(requests);
    std::sort(ascending.begin(), ascending.end());
    double left = capacity;
    std::size_t teamsLeft = ascending.size();
    for (const double requests : ascending) {
        const double level = left / static_cast<double>(teamsLeft);
        if (requests > level)
            return level;
        left -= requests;
        --teamsLeft;
    }
    return std::numeric_limits<double>::infinity();
}

bool isOverShare(const TeamLoad &load, TeamKey team)
{
    const auto found = load.find(team);
    if (found == load.end() || load.size() < 2)
        return false;
    const double all = total(load);
    const double mean = all / static_cast<double>(load.size());
    return found->second > fairShare(load, (1 - keptShare) * all)
           && found->second > mean + chanceDeviations * std::sqrt(mean);
}

} // namespace egretmount::limits
