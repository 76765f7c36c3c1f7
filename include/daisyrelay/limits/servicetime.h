// Measured service times: a mean for predictions and a decaying peak for the detection of silent connections.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Exponentially weighted statistics of a series of durations.
class ServiceTime
{
public:
    void addSample(Duration sample);

    /// Lowers the mean slightly. Called when work was rejected because of the estimate alone; an estimate that is too
    /// high could otherwise reject indefinitely the work that would correct it.
    void reduceEstimate();

    /// Returns the mean of the samples; zero before the first sample.
    [[nodiscard]] Duration mean() const;

    /// Returns the longest recent sample, which decays with each new sample.
    [[nodiscard]] Duration peak() const;

private:
    double mean_ = 0;
    double peak_ = 0;
};

/// Rate of events per second, exponentially weighted with a time constant of one second.
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
