#include "daisyrelay/supervision/failoverforecast.h"

namespace daisyrelay {

void FailoverForecast::recordPromotion(Duration took)
{
    promotionTime_ = isMeasured_ ? (promotionTime_ + took) / 2 : took;
    isMeasured_ = true;
}

Duration FailoverForecast::promotionTime() const
{
    return promotionTime_;
}

} // namespace daisyrelay
