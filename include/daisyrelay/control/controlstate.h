// The replicated state of the control VMs: each applies the same commands in the same order.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>

namespace daisyrelay {

/// How a configuration change ended.
struct ConfigOutcome {
    bool accepted = false;
    ErrorKind error = ErrorKind::Internal; ///< Valid unless accepted.
    std::uint64_t version = 0; ///< The version that the change made, or the current one.
};

/// Configuration, group terms and the changes that were answered.
class ControlState
{
public:
    /// Applies a compare-and-set change; a change that was applied before gets its first answer.
    ConfigOutcome apply(const ConfigChange &change);

    /// Records a term unless a higher one is known. \returns whether it was recorded.
    bool apply(const GroupTermCommand &command);

    [[nodiscard]] std::uint64_t configVersion() const;
    [[nodiscard]] const std::string &configJson() const;
    [[nodiscard]] const std::map<GroupKey, GroupTerm> &terms() const;

private:
    std::uint64_t configVersion_ = 0;
    std::string configJson_ = "{}";
    std::map<std::string, ConfigOutcome> changes_;
    std::deque<std::string> changeOrder_;
    std::map<GroupKey, GroupTerm> terms_;
};

} // namespace daisyrelay
