#include "daisyrelay/limits/servicetime.h"

#include <algorithm>
#include <cmath>

namespace daisyrelay {

static constexpr double NewestShare = 0.1;
static constexpr double PeakDecay = 0.98;
static constexpr double DoubtFactor = 0.9;

void ServiceTime::add(Duration sample)
{
    const auto ticks = static_cast<double>(sample.count());
    mean_ = mean_ == 0 ? ticks : mean_ + NewestShare * (ticks - mean_);
    peak_ = std::max(ticks, peak_ * PeakDecay);
}

void ServiceTime::doubt()
{
    mean_ *= DoubtFactor;
}

Duration ServiceTime::mean() const
{
    return Duration(static_cast<Duration::rep>(mean_));
}

Duration ServiceTime::peak() const
{
    return Duration(static_cast<Duration::rep>(peak_));
}

double EventRate::decayed(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - last_).count();
    return weight_ * std::exp(-std::max(0.0, seconds));
}

void EventRate::add(Instant now)
{
    weight_ = decayed(now) + 1;
    last_ = now;
}

double EventRate::perSecond(Instant now) const
{
    return decayed(now);
}

} // namespace daisyrelay
