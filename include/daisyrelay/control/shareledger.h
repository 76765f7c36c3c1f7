// Upper bounds of the connections to one database that each entry may be using.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Counts a share from the table that grants it until the entry has confirmed a later table without it or can no longer
/// use it.
class ShareLedger
{
public:
    /// Records that the table of \p version grants these connections to \p entry.
    void grant(const VmId &entry, std::uint64_t version, std::uint32_t fixed, std::uint32_t leased);

    /// Records that \p entry applies the table of \p version and holds no connection beyond it.
    void confirmTable(const VmId &entry, std::uint64_t version);

    /// Records that the lease of \p entry has expired: it uses no leased connections until a later table grants some.
    void endLease(const VmId &entry);

    /// Removes an entry that is no longer registered and uses no connections.
    void removeEntry(const VmId &entry);

    /// Returns the maximum number of connections that all entries but \p except may be using together.
    [[nodiscard]] std::uint32_t maxUsedByOthers(const VmId &except) const;

    /// Tells whether \p entry may be using leased connections.
    [[nodiscard]] bool mayUseLeased(const VmId &entry) const;

    /// Returns the last share granted to \p entry, as fixed and leased connections.
    [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> lastGrant(const VmId &entry) const;

    [[nodiscard]] std::vector<VmId> entries() const;

private:
    struct Share {
        std::uint64_t version = 0;
        std::uint32_t fixed = 0;
        std::uint32_t leased = 0;
    };

    std::map<VmId, std::vector<Share>> shares_; ///< Shares of each entry, ordered by version; no list is empty.
};

} // namespace daisyrelay
