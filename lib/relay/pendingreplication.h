// Writes that the primary has completed and that wait until a second database has them.
#pragma once

#include "daisyrelay/limits.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// The waiting writes of each group, ordered by log point.
class PendingReplication
{
public:
    void add(const GroupKey &group, const LogPoint &point, WorkId work);
    void remove(const GroupKey &group, const LogPoint &point, WorkId work);

    /// Removes and returns the writes that a replica at \p point has.
    std::vector<WorkId> takeReplicated(const GroupKey &group, const LogPoint &point);

    /// Returns the lowest log point of the waiting writes.
    [[nodiscard]] std::optional<LogPoint> lowestPoint(const GroupKey &group) const;

    /// Returns the groups with waiting writes.
    [[nodiscard]] std::vector<GroupKey> groups() const;

private:
    std::map<GroupKey, std::multimap<LogPoint, WorkId>> waiting_;
};

} // namespace daisyrelay
