// The log positions that a session has seen. Callers carry them in a token, so that a session can move to another proxy
// at any time.
#pragma once

#include "daisyrelay/base.h"

#include <map>

namespace daisyrelay {

/// The newest point that a session has written or read, by group.
struct SessionToken {
    std::map<GroupKey, LogPoint> points;

    bool operator==(const SessionToken &) const = default;

    /// Raises the point of \p group to \p point; a lower point has no effect.
    void raisePoint(const GroupKey &group, const LogPoint &point);

    /// Returns the point of \p group, or zero if the session has not accessed the group.
    [[nodiscard]] LogPoint pointOf(const GroupKey &group) const;
};

} // namespace daisyrelay
