// How long statements take, measured: a mean for predictions and a decaying peak for judging silence.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Exponentially weighted statistics of a stream of durations.
class ServiceTime
{
public:
    void addSample(Duration sample);

    /// Lowers the mean a little. Called when work was refused because of the estimate alone, so that an estimate that
    /// is too high can not refuse for ever the work that would correct it.
    void reduceEstimate();

    /// Returns zero until the first sample.
    [[nodiscard]] Duration mean() const;

    /// Returns the longest recent sample; it decays with each sample.
    [[nodiscard]] Duration peak() const;

private:
    double mean_ = 0;
    double peak_ = 0;
};

/// Events per second over about the last second.
class EventRate
{
public:
    void recordEvent(Instant now);
    [[nodiscard]] double perSecond(Instant now) const;

private:
    [[nodiscard]] double decayedWeight(Instant now) const;

    double weight_ = 0;
    Instant lastEventAt_ {};
};

} // namespace daisyrelay
