// Upper bounds of the connections to one database that each entry may be using.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Counts a share from when a table grants it until the entry confirmed a table without it, or can use it no more.
class ShareLedger
{
public:
    /// A table of \p version grants \p entry these connections.
    void grant(const VmId &entry, std::uint64_t version, std::uint32_t fixed, std::uint32_t leased);

    /// The entry applies the table of \p version and holds no connection that it does not grant.
    void confirmTable(const VmId &entry, std::uint64_t version);

    /// The lease of the entry has run out: it uses leased connections no more until a later table grants some.
    void endLease(const VmId &entry);

    /// The entry is no longer registered and uses nothing.
    void removeEntry(const VmId &entry);

    /// Returns the most connections that all entries but \p except may be using together.
    [[nodiscard]] std::uint32_t maxUsedByOthers(const VmId &except) const;

    /// Returns whether \p entry may be using leased connections.
    [[nodiscard]] bool mayUseLeased(const VmId &entry) const;

    /// Returns the last share that was granted to \p entry.
    [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> lastGrant(const VmId &entry) const;

    [[nodiscard]] std::vector<VmId> entries() const;

private:
    struct Share {
        std::uint64_t version = 0;
        std::uint32_t fixed = 0;
        std::uint32_t leased = 0;
    };

    std::map<VmId, std::vector<Share>> shares_; ///< By version, oldest first; never empty.
};

} // namespace daisyrelay
