#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::membership {

/// @brief What one instance passes on of another one.
struct RosterEntry
{
    std::string host; ///< Address without a port; the ports are the same on all instances.
    Incarnation incarnation = 0; ///< Of its run; a restart has a higher one.
    std::uint64_t beat = 0; ///< Grows while the run lives.
    bool isLeaving = false;
};

/// @brief An instance as this one knows it.
struct RosterMember
{
    RosterEntry entry;
    Milliseconds advancedAt; ///< When its beat was last seen to grow.
};

/// @brief Who lives, learnt from beats that the instances pass on to each other.
///
/// There is no list to read: an instance knows a few first addresses and learns the rest from
/// digests. A run counts as living while its beat grows.
struct Roster
{
    RosterEntry self;
    std::vector<std::string> contacts; ///< First addresses to ask; some may be stale.
    std::map<std::string, RosterMember> members; ///< By host, without this instance.
};

/// @brief A run whose beat has not grown for this long counts as dead.
///
/// Six beat intervals: three lost digests in a row do not remove a living instance, and the
/// directory drops a dead one well before callers are told of it too late.
constexpr Milliseconds deadAfter = Milliseconds(2'400);

/// @brief Time between two digests.
constexpr Milliseconds digestInterval = Milliseconds(400);

/// @brief A dead run is forgotten after this; until then it is still told that others live.
constexpr Milliseconds forgetAfter = Milliseconds(45'000);

/// @brief Receivers of one digest; with fewer instances, all of them.
constexpr std::size_t digestFanout = 8;

/// @brief Entries in one digest; keeps it within one datagram.
constexpr std::size_t maxDigestEntries = 40;

/// @brief Takes in a digest. @param sender Host from which it came.
/// @return The hosts whose run is new or has ended (a higher incarnation).
/// @complexity Logarithmic in the members for each entry.
std::vector<std::string> noteDigest(Roster &roster, const std::vector<RosterEntry> &digest,
                                    Milliseconds now);

/// @brief Makes the next digest: this instance first, then living members, a different part of
///        them each time if there are more than `maxDigestEntries`.
std::vector<RosterEntry> makeDigest(Roster &roster, Milliseconds now);

/// @brief Hosts to send a digest to: living members, now and then a contact or a dead member.
/// @param draw Random bits.
std::vector<std::string> digestReceivers(const Roster &roster, Milliseconds now,
                                         std::uint64_t draw);

/// @brief True if the member's run counts as living and does not leave.
bool isServing(const RosterMember &member, Milliseconds now);

/// @brief Hosts that callers may be sent to, this instance included unless it leaves. Sorted.
std::vector<std::string> servingHosts(const Roster &roster, Milliseconds now);

/// @brief Hosts of living runs, leaving ones and this instance included. Sorted.
std::vector<std::string> livingHosts(const Roster &roster, Milliseconds now);

/// @brief Forgets members that have been dead for `forgetAfter`.
void forgetDead(Roster &roster, Milliseconds now);

} // namespace egretmount::membership
