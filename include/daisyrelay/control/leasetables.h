// The table of terms and homes that leases cover, with the version in which each row last changed.
#pragma once

#include "daisyrelay/wire.h"

#include <map>

namespace daisyrelay {

/// Builds a table for each entry with the changes since the table that the entry has.
class LeaseTables
{
public:
    /// Starts an empty table for a new leader.
    void reset(Term leaderTerm);

    /// Sets the term of a group. \returns whether this created a new version.
    bool setTerm(const GroupTerm &term);

    /// Sets the home of a database and the fixed share of each entry. \returns whether this created a new version.
    bool setHome(const HomeGrant &home, const std::map<VmId, std::uint32_t> &fixedShares);

    /// Returns the rows that changed after \p baseVersion, with the fixed shares of \p entry.
    [[nodiscard]] LeaseTable tableFor(const VmId &entry, std::uint64_t baseVersion) const;

    /// Returns the version in which the row of \p group last changed.
    [[nodiscard]] std::uint64_t versionOf(const GroupKey &group) const;

    [[nodiscard]] const HomeGrant *homeOf(const BackendId &backend) const;
    [[nodiscard]] std::vector<HomeGrant> homes() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] Term leaderTerm() const;

private:
    struct TermRow {
        GroupTerm term;
        std::uint64_t changedInVersion = 0;
    };

    struct HomeRow {
        HomeGrant home;
        std::map<VmId, std::uint32_t> fixedShares;
        std::uint64_t changedInVersion = 0;
    };

    Term leaderTerm_ = 0;
    std::uint64_t version_ = 0;
    std::map<GroupKey, TermRow> terms_;
    std::map<BackendId, HomeRow> homes_;
};

} // namespace daisyrelay
