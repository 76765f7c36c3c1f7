// What consensus has to find again after a restart.
#pragma once

#include "daisyrelay/base.h"

#include <string>
#include <vector>

namespace daisyrelay {

/// The vote and the current term of a control VM.
struct HardState {
    Term term = 0;
    std::string votedFor;

    bool operator==(const HardState &) const = default;
};

} // namespace daisyrelay
