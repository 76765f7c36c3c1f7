#include "daisyrelay/session/sessiontoken.h"

#include <algorithm>

namespace daisyrelay {

void SessionToken::raisePoint(const GroupKey &group, const LogPoint &point)
{
    LogPoint &known = points[group];
    known = std::max(known, point);
}

LogPoint SessionToken::pointOf(const GroupKey &group) const
{
    const auto found = points.find(group);
    return found == points.end() ? LogPoint {} : found->second;
}

} // namespace daisyrelay
