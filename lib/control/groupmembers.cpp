#include "daisyrelay/control/groupmembers.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t CopiesOfAcknowledgedWrite = 2;

static bool coversAcknowledged(const std::vector<BackendId> &members, const std::set<BackendId> &answered)
{
    const auto heard = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [&answered](const BackendId &member) { return answered.contains(member); }));
    const std::size_t copies = std::min(CopiesOfAcknowledgedWrite, members.size());
    return heard + copies > members.size();
}

bool GroupMembers::contains(const BackendId &backend) const
{
    return std::find(members.begin(), members.end(), backend) != members.end();
}

bool GroupMembers::canPromote(const std::set<BackendId> &answered) const
{
    if (answered.empty() || !coversAcknowledged(members, answered)) {
        return false;
    }
    return previous.empty() || coversAcknowledged(previous, answered);
}

} // namespace daisyrelay
