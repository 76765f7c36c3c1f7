#include "daisyrelay/limits/servicetime.h"

#include <algorithm>
#include <cmath>

namespace daisyrelay {

static constexpr double MeanSampleWeight = 0.1;
static constexpr double PeakDecayFactor = 0.98;
static constexpr double EstimateReductionFactor = 0.9;

void ServiceTime::addSample(Duration sample)
{
    const auto ticks = static_cast<double>(sample.count());
    mean_ = mean_ == 0 ? ticks : mean_ + MeanSampleWeight * (ticks - mean_);
    peak_ = std::max(ticks, peak_ * PeakDecayFactor);
}

void ServiceTime::reduceEstimate()
{
    mean_ *= EstimateReductionFactor;
}

Duration ServiceTime::mean() const
{
    return Duration(static_cast<Duration::rep>(mean_));
}

Duration ServiceTime::peak() const
{
    return Duration(static_cast<Duration::rep>(peak_));
}

double EventRate::decayedWeight(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - lastEventAt_).count();
    return weight_ * std::exp(-std::max(0.0, seconds));
}

void EventRate::recordEvent(Instant now)
{
    weight_ = decayedWeight(now) + 1;
    lastEventAt_ = now;
}

double EventRate::perSecond(Instant now) const
{
    return decayedWeight(now);
}

} // namespace daisyrelay
