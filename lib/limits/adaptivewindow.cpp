#include "daisyrelay/limits/adaptivewindow.h"

#include <algorithm>

namespace daisyrelay {

/// The window shrinks at most once in this interval, since one overflow of the server queue rejects several statements.
static constexpr Duration MinShrinkInterval = std::chrono::milliseconds(20);

/// Usual factor of a multiplicative decrease.
static constexpr double ShrinkFactor = 0.7;

/// Grows the window from MinSize to one within half a second, since most overloads are short.
static constexpr double GrowthFactorBelowOne = 1.5;

/// Corresponds to an interval of twenty baseline response times between two statements.
static constexpr double MinSize = 0.05;

static constexpr double RecentTimeWeight = 0.2;

/// Low, so that the baseline does not rise while a queue at the server lasts.
static constexpr double BaselineRiseWeight = 0.002;

/// Higher than BaselineRiseWeight, so that a server with long statements is recognized soon.
static constexpr double InitialBaselineRiseWeight = 0.02;

/// Number of responses without a rejection for which InitialBaselineRiseWeight applies.
static constexpr std::size_t InitialSampleCount = 64;

static constexpr double BaselineFallWeight = 0.05;

/// Response times above this multiple of the baseline indicate congestion. The factor exceeds the spread of the
/// response times of one kind of statement.
static constexpr double CongestionFactor = 2.5;

/// Time for which a rejection is remembered; several of the longest send intervals fit into this time.
static constexpr Duration RejectionRetention = std::chrono::seconds(2);

/// An overload is over after this time without a statement.
static constexpr Duration IdleResetDelay = std::chrono::seconds(1);

/// Baseline before the first response. Fixed rather than taken from the first response, since a VM may start during an
/// overload.
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
    // Starts from the number of statements in flight if that number is lower than the window.
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
    // With long send intervals the mean over several responses is too old, so the last response decides. Slow responses
    // alone may come from long statements, so the window falls below one only if the server also rejects statements.
    const bool isSlow = window_ < 1 ? ticks > CongestionFactor * baselineTime_ : isCongested();
    if (isSlow) {
        shrink(now, inFlight, now - lastRejectionAt_ < RejectionRetention ? MinSize : std::min(1.0, window_));
    } else if (window_ < 1) {
        window_ = std::min(1.0, window_ * GrowthFactorBelowOne);
    } else {
        window_ = std::min(MaxSize, window_ + 1.0 / window_);
    }
}

// A server that rejects statements although it responds quickly is not full. Send intervals would only waste its
// capacity, so the window does not fall below one then.
void AdaptiveWindow::recordRejection(Instant now, std::size_t inFlight)
{
    sampleCount_ = InitialSampleCount;
    lastRejectionAt_ = now;
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
