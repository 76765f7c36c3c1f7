// Predicts when a failover ends.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// The time that promotions take on this platform, as measured from those that have succeeded.
class FailoverForecast
{
public:
    /// Records that the primary role was taken \p took after the platform had accepted the promotion.
    void recordPromotion(Duration took);

    /// Returns the expected time from the acceptance of a promotion until the role is taken.
    [[nodiscard]] Duration promotionTime() const;

private:
    /// Initial estimate, replaced by the first measurement. An estimate that is too high rejects statements that could
    /// have waited.
    Duration promotionTime_ = std::chrono::milliseconds(500);
    bool isMeasured_ = false;
};

} // namespace daisyrelay
