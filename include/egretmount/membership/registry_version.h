#pragma once

#include <cstdint>
#include <ostream>
#include <tuple>

namespace egretmount::membership {

/// @brief Number of changes of the registry; each change increases it.
using Revision = std::int64_t;

/// @brief Position in the history of the registry.
///
/// A registry that is restored from an older copy starts a new era and assigns revisions of the
/// lost history again, so a revision alone does not identify a state.
struct RegistryVersion
{
    std::int64_t era = 0;
    Revision revision = 0; ///< Zero: no state of the registry is known.

    bool isEmpty() const { return revision == 0; }

    friend bool operator==(const RegistryVersion &a, const RegistryVersion &b)
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend bool operator!=(const RegistryVersion &a, const RegistryVersion &b) { return !(a == b); }
    friend bool operator<(const RegistryVersion &a, const RegistryVersion &b)
    {
        return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
    }
    friend bool operator>(const RegistryVersion &a, const RegistryVersion &b) { return b < a; }
    friend bool operator<=(const RegistryVersion &a, const RegistryVersion &b) { return !(b < a); }
    friend bool operator>=(const RegistryVersion &a, const RegistryVersion &b) { return !(a < b); }

    friend std::ostream &operator<<(std::ostream &out, const RegistryVersion &version)
    {
        return out << version.era << '/' << version.revision;
    }
};

} // namespace egretmount::membership
