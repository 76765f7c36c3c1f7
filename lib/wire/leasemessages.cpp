#include "daisyrelay/wire/leasemessages.h"

#include <algorithm>

namespace daisyrelay {

bool GroupTerm::isLost(const LogPoint &point) const
{
    if (point.position == 0) {
        return false;
    }
    if (starts.size() >= MaxTermStarts && point.term < starts.front().term) {
        return true;
    }
    return std::any_of(starts.begin(), starts.end(),
        [&point](const LogPoint &start) { return start.term > point.term && point.position >= start.position; });
}

} // namespace daisyrelay
