#include "daisyrelay/control/groupmembers.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t CopiesOfAcknowledgedWrite = 2;

static bool includesAcknowledgedWrites(const std::vector<BackendId> &members, const std::set<BackendId> &responded)
{
    const auto respondedMembers = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [&responded](const BackendId &member) { return responded.contains(member); }));
    const std::size_t copies = std::min(CopiesOfAcknowledgedWrite, members.size());
    return respondedMembers + copies > members.size();
}

bool GroupMembers::contains(const BackendId &backend) const
{
    return std::find(members.begin(), members.end(), backend) != members.end();
}

const std::vector<BackendId> &GroupMembers::acknowledgingMembers() const
{
    return previous.size() == 1 ? previous : members;
}

bool GroupMembers::canPromote(const std::set<BackendId> &responded) const
{
    if (responded.empty() || !includesAcknowledgedWrites(members, responded)) {
        return false;
    }
    return previous.empty() || includesAcknowledgedWrites(previous, responded);
}

} // namespace daisyrelay
