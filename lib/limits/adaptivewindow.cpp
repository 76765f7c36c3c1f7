#include "daisyrelay/limits/adaptivewindow.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration Settle = std::chrono::milliseconds(20); // One overflow refuses several statements.
static constexpr double Shrink = 0.7; // As usual for multiplicative decrease.
static constexpr double GrowthBelowOne
    = 1.5; // From the smallest window to one within half a second, since most rushes are short.
static constexpr double Smallest = 0.05; // Twenty statement times between two statements.
static constexpr double RecentShare = 0.2;
static constexpr double UsualRise = 0.002; // A queue must not become usual while it lasts,
static constexpr double FirstRise = 0.02; // but a server whose statements are long is to be known as one soon,
static constexpr std::size_t FirstAnswers = 64; // by so many answers without a refusal.
static constexpr double UsualFall = 0.05;
static constexpr double CrowdedFactor = 2.5; // More than the spread of statements of one kind.
static constexpr Duration Remembered = std::chrono::seconds(2); // A refusal; several of the longest pauses fit into it.
static constexpr Duration Forgotten = std::chrono::seconds(1); // A rush is over by then.
/// Assumed until answers tell, as a VM may start in the middle of a rush.
static constexpr Duration FirstUsualTime = std::chrono::milliseconds(20);

AdaptiveWindow::AdaptiveWindow() : usualTime_(static_cast<double>(FirstUsualTime.count()))
{
}

void AdaptiveWindow::started(Instant now)
{
    if (now - startedAt_ > Forgotten) {
        window_ = std::max(1.0, window_);
        recentTime_ = 0;
    }
    startedAt_ = now;
}

bool AdaptiveWindow::crowded() const
{
    return recentTime_ > CrowdedFactor * usualTime_;
}

void AdaptiveWindow::shrink(Instant now, std::size_t underWay, double least)
{
    if (now - shrunkAt_ < Settle) {
        return;
    }
    shrunkAt_ = now;
    // A part of what is under way, if less is under way than there might be.
    const double used = window_ < 1 ? window_ : std::min(window_, std::max(1.0, static_cast<double>(underWay)));
    window_ = std::max(least, used * Shrink);
}

void AdaptiveWindow::ran(Instant now, Duration took, std::size_t underWay)
{
    const auto ticks = static_cast<double>(took.count());
    recentTime_ = recentTime_ == 0 ? ticks : recentTime_ + RecentShare * (ticks - recentTime_);
    const double rise = learned_ < FirstAnswers ? FirstRise : UsualRise;
    ++learned_;
    usualTime_ += (recentTime_ > usualTime_ ? rise : UsualFall) * (recentTime_ - usualTime_);
    // With long pauses the mean over several answers is too old. Slow answers alone can also be long statements, so
    // they bring no pauses unless the server refuses as well.
    const bool slow = window_ < 1 ? ticks > CrowdedFactor * usualTime_ : crowded();
    if (slow) {
        shrink(now, underWay, now - refusedAt_ < Remembered ? Smallest : std::min(1.0, window_));
    } else if (window_ < 1) {
        window_ = std::min(1.0, window_ * GrowthBelowOne);
    } else {
        window_ = std::min(Largest, window_ + 1.0 / window_);
    }
}

// A server that refuses although its answers are quick is not full; pauses would only waste what it can do.
void AdaptiveWindow::refused(Instant now, std::size_t underWay)
{
    learned_ = FirstAnswers;
    refusedAt_ = now;
    shrink(now, underWay, crowded() ? Smallest : std::min(1.0, window_));
}

Duration AdaptiveWindow::pause() const
{
    return Duration(static_cast<Duration::rep>(usualTime_ / window_));
}

bool AdaptiveWindow::admits(Instant now, std::size_t underWay) const
{
    if (window_ < 1) {
        return underWay == 0 && now - startedAt_ >= pause();
    }
    return static_cast<double>(underWay) < window_;
}

Duration AdaptiveWindow::waitFor(Instant now, std::size_t ahead, std::size_t connections, Duration meanTime) const
{
    const auto count = static_cast<std::int64_t>(ahead);
    if (window_ < 1) {
        return std::max(Duration::zero(), startedAt_ + pause() - now) + pause() * std::max<std::int64_t>(count - 1, 0);
    }
    const double lanes = std::min(window_, static_cast<double>(std::max<std::size_t>(connections, 1)));
    return Duration(static_cast<Duration::rep>(static_cast<double>((meanTime * count).count()) / lanes));
}

double AdaptiveWindow::size() const
{
    return window_;
}

} // namespace daisyrelay
