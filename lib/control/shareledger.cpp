#include "daisyrelay/control/shareledger.h"

#include <algorithm>

namespace daisyrelay {

void ShareLedger::grant(const VmId &entry, std::uint64_t version, std::uint32_t fixed, std::uint32_t leased)
{
    std::vector<Share> &shares = shares_[entry];
    if (!shares.empty() && shares.back().fixed == fixed && shares.back().leased == leased) {
        return;
    }
    shares.push_back({ version, fixed, leased });
}

void ShareLedger::confirmTable(const VmId &entry, std::uint64_t version)
{
    const auto found = shares_.find(entry);
    if (found == shares_.end()) {
        return;
    }
    std::vector<Share> &shares = found->second;
    const auto firstLater
        = std::find_if(shares.begin(), shares.end(), [version](const Share &share) { return share.version > version; });
    if (firstLater != shares.begin()) {
        shares.erase(shares.begin(), std::prev(firstLater));
    }
    if (shares.size() == 1 && shares.front().fixed == 0 && shares.front().leased == 0) {
        shares_.erase(found);
    }
}

void ShareLedger::endLease(const VmId &entry)
{
    if (const auto found = shares_.find(entry); found != shares_.end()) {
        for (Share &share : found->second) {
            share.leased = 0;
        }
    }
}

void ShareLedger::removeEntry(const VmId &entry)
{
    shares_.erase(entry);
}

std::uint32_t ShareLedger::maxUsedByOthers(const VmId &except) const
{
    std::uint32_t sum = 0;
    for (const auto &[entry, shares] : shares_) {
        std::uint32_t maxShare = 0;
        for (const Share &share : shares) {
            maxShare = std::max(maxShare, share.fixed + share.leased);
        }
        sum += entry == except ? 0 : maxShare;
    }
    return sum;
}

bool ShareLedger::mayUseLeased(const VmId &entry) const
{
    const auto found = shares_.find(entry);
    return found != shares_.end()
        && std::any_of(found->second.begin(), found->second.end(), [](const Share &share) { return share.leased > 0; });
}

std::pair<std::uint32_t, std::uint32_t> ShareLedger::lastGrant(const VmId &entry) const
{
    const auto found = shares_.find(entry);
    return found == shares_.end() ? std::pair(0U, 0U)
                                  : std::pair(found->second.back().fixed, found->second.back().leased);
}

std::vector<VmId> ShareLedger::entries() const
{
    std::vector<VmId> result;
    for (const auto &[entry, shares] : shares_) {
        result.push_back(entry);
    }
    return result;
}

} // namespace daisyrelay
