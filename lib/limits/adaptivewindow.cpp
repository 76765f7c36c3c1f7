#include "daisyrelay/limits/adaptivewindow.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration MinShrinkInterval = std::chrono::milliseconds(20); // One overflow refuses several statements.
static constexpr double ShrinkFactor = 0.7; // As usual for multiplicative decrease.
static constexpr double GrowthFactorBelowOne
    = 1.5; // From the smallest window to one within half a second, since most rushes are short.
static constexpr double MinSize = 0.05; // Twenty statement times between two statements.
static constexpr double RecentTimeWeight = 0.2;
static constexpr double BaselineRiseWeight = 0.002; // A queue must not become usual while it lasts,
static constexpr double InitialBaselineRiseWeight
    = 0.02; // but a server whose statements are long is to be known as one soon,
static constexpr std::size_t InitialSampleCount = 64; // by so many answers without a refusal.
static constexpr double BaselineFallWeight = 0.05;
static constexpr double CongestionFactor = 2.5; // More than the spread of statements of one kind.
static constexpr Duration RefusalRetention
    = std::chrono::seconds(2); // A refusal; several of the longest pauses fit into it.
static constexpr Duration IdleResetDelay = std::chrono::seconds(1); // A rush is over by then.
/// Assumed until answers tell, as a VM may start in the middle of a rush.
static constexpr Duration InitialBaselineTime = std::chrono::milliseconds(20);

AdaptiveWindow::AdaptiveWindow() : baselineTime_(static_cast<double>(InitialBaselineTime.count()))
{
}

void AdaptiveWindow::recordStart(Instant now)
{
    if (now - lastStartAt_ > IdleResetDelay) {
        window_ = std::max(1.0, window_);
        recentTime_ = 0;
    }
    lastStartAt_ = now;
}

bool AdaptiveWindow::isCongested() const
{
    return recentTime_ > CongestionFactor * baselineTime_;
}

void AdaptiveWindow::shrink(Instant now, std::size_t inFlight, double minSize)
{
    if (now - lastShrinkAt_ < MinShrinkInterval) {
        return;
    }
    lastShrinkAt_ = now;
    // A part of what is under way, if less is under way than there might be.
    const double usedSize = window_ < 1 ? window_ : std::min(window_, std::max(1.0, static_cast<double>(inFlight)));
    window_ = std::max(minSize, usedSize * ShrinkFactor);
}

void AdaptiveWindow::recordCompletion(Instant now, Duration elapsed, std::size_t inFlight)
{
    const auto ticks = static_cast<double>(elapsed.count());
    recentTime_ = recentTime_ == 0 ? ticks : recentTime_ + RecentTimeWeight * (ticks - recentTime_);
    const double riseWeight = sampleCount_ < InitialSampleCount ? InitialBaselineRiseWeight : BaselineRiseWeight;
    ++sampleCount_;
    baselineTime_ += (recentTime_ > baselineTime_ ? riseWeight : BaselineFallWeight) * (recentTime_ - baselineTime_);
    // With long pauses the mean over several answers is too old. Slow answers alone can also be long statements, so
    // they bring no pauses unless the server refuses as well.
    const bool isSlow = window_ < 1 ? ticks > CongestionFactor * baselineTime_ : isCongested();
    if (isSlow) {
        shrink(now, inFlight, now - lastRefusalAt_ < RefusalRetention ? MinSize : std::min(1.0, window_));
    } else if (window_ < 1) {
        window_ = std::min(1.0, window_ * GrowthFactorBelowOne);
    } else {
        window_ = std::min(MaxSize, window_ + 1.0 / window_);
    }
}

// A server that refuses although its answers are quick is not full; pauses would only waste what it can do.
void AdaptiveWindow::recordRefusal(Instant now, std::size_t inFlight)
{
    sampleCount_ = InitialSampleCount;
    lastRefusalAt_ = now;
    shrink(now, inFlight, isCongested() ? MinSize : std::min(1.0, window_));
}

Duration AdaptiveWindow::sendInterval() const
{
    return Duration(static_cast<Duration::rep>(baselineTime_ / window_));
}

bool AdaptiveWindow::canSend(Instant now, std::size_t inFlight) const
{
    if (window_ < 1) {
        return inFlight == 0 && now - lastStartAt_ >= sendInterval();
    }
    return static_cast<double>(inFlight) < window_;
}

Duration AdaptiveWindow::predictedWait(
    Instant now, std::size_t statements, std::size_t connections, Duration meanServiceTime) const
{
    const auto count = static_cast<std::int64_t>(statements);
    if (window_ < 1) {
        return std::max(Duration::zero(), lastStartAt_ + sendInterval() - now)
            + sendInterval() * std::max<std::int64_t>(count - 1, 0);
    }
    const double concurrency = std::min(window_, static_cast<double>(std::max<std::size_t>(connections, 1)));
    return Duration(static_cast<Duration::rep>(static_cast<double>((meanServiceTime * count).count()) / concurrency));
}

double AdaptiveWindow::size() const
{
    return window_;
}

} // namespace daisyrelay
