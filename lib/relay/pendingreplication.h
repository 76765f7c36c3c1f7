// Writes that the primary has done and that wait until a second database has them.
#pragma once

#include "daisyrelay/limits.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// The waiting writes of each group, ordered by their point in the log.
class PendingReplication
{
public:
    void add(const GroupKey &group, const LogPoint &point, WorkId work);
    void remove(const GroupKey &group, const LogPoint &point, WorkId work);

    /// Takes out and returns the writes that a replica at \p point has.
    std::vector<WorkId> takeReplicated(const GroupKey &group, const LogPoint &point);

    /// Returns the lowest point that is waited for.
    [[nodiscard]] std::optional<LogPoint> lowestPoint(const GroupKey &group) const;

    /// Returns the groups in which writes wait.
    [[nodiscard]] std::vector<GroupKey> groups() const;

private:
    std::map<GroupKey, std::multimap<LogPoint, WorkId>> waiting_;
};

} // namespace daisyrelay
