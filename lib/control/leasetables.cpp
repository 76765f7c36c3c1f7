#include "daisyrelay/control/leasetables.h"

namespace daisyrelay {

void LeaseTables::reset(Term leaderTerm)
{
    leaderTerm_ = leaderTerm;
    version_ = 1;
    terms_.clear();
    homes_.clear();
}

bool LeaseTables::setTerm(const GroupTerm &term)
{
    TermRow &row = terms_[term.group];
    if (row.changedInVersion != 0 && row.term == term) {
        return false;
    }
    row = { term, ++version_ };
    return true;
}

bool LeaseTables::setHome(const HomeGrant &home, const std::map<VmId, std::uint32_t> &fixedShares)
{
    HomeRow &row = homes_[home.backend];
    if (row.changedInVersion != 0 && row.home == home && row.fixedShares == fixedShares) {
        return false;
    }
    row = { home, fixedShares, ++version_ };
    return true;
}

LeaseTable LeaseTables::tableFor(const VmId &entry, std::uint64_t baseVersion) const
{
    LeaseTable table { leaderTerm_, version_, baseVersion, {}, {} };
    for (const auto &[group, row] : terms_) {
        if (row.changedInVersion > baseVersion) {
            table.terms.push_back(row.term);
        }
    }
    for (const auto &[backend, row] : homes_) {
        if (row.changedInVersion > baseVersion) {
            const auto share = row.fixedShares.find(entry);
            table.homes.push_back(row.home);
            table.homes.back().fixedConnections = share == row.fixedShares.end() ? 0 : share->second;
        }
    }
    return table;
}

std::uint64_t LeaseTables::versionOf(const GroupKey &group) const
{
    const auto row = terms_.find(group);
    return row == terms_.end() ? 0 : row->second.changedInVersion;
}

const HomeGrant *LeaseTables::homeOf(const BackendId &backend) const
{
    const auto row = homes_.find(backend);
    return row == homes_.end() ? nullptr : &row->second.home;
}

std::vector<HomeGrant> LeaseTables::homes() const
{
    std::vector<HomeGrant> result;
    for (const auto &[backend, row] : homes_) {
        result.push_back(row.home);
    }
    return result;
}

std::uint64_t LeaseTables::version() const
{
    return version_;
}

Term LeaseTables::leaderTerm() const
{
    return leaderTerm_;
}

} // namespace daisyrelay
