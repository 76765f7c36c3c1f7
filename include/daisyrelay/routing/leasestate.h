// The lease of this entry, as the decision cores see it.
#pragma once

#include "daisyrelay/wire.h"

namespace daisyrelay {

/// The last lease table and the instant until which it is valid.
struct LeaseState {
    LeaseTable table;
    Instant validUntil {};

    [[nodiscard]] bool isValidAt(Instant now) const;

    /// Returns the term of \p group, or null if control has not started one.
    [[nodiscard]] const GroupTerm *findTerm(const GroupKey &group) const;

    /// Returns the grant of \p backend, or null.
    [[nodiscard]] const HomeGrant *findGrant(const BackendId &backend) const;
};

} // namespace daisyrelay
