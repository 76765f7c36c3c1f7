// The table of terms and homes that leases cover, with the version in which each row changed last.
#pragma once

#include "daisyrelay/wire.h"

#include <map>

namespace daisyrelay {

/// Builds for each entry the table that holds only what changed since the one it has.
class LeaseTables
{
public:
    /// Starts an empty table under a new leader.
    void reset(Term leaderTerm);

    /// Sets the term of a group. \returns whether that made a new version.
    bool setTerm(const GroupTerm &term);

    /// Sets the home of a database and the fixed shares by entry. \returns whether that made a new version.
    bool setHome(const HomeGrant &home, const std::map<VmId, std::uint32_t> &fixedShares);

    /// Returns the rows that changed after \p baseVersion, as \p entry is to see them.
    [[nodiscard]] LeaseTable tableFor(const VmId &entry, std::uint64_t baseVersion) const;

    /// Returns the version in which the row of \p group changed last.
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
