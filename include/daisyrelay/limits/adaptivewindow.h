// How much one of several proxies may have under way at a server that they share without knowing of each other.
#pragma once

#include "daisyrelay/limits/servicetime.h"

namespace daisyrelay {

/// Additive increase and multiplicative decrease of concurrency, by refusals and by answers that take much longer than
/// usual. Where even one statement of each proxy is too much, the window falls below one and becomes a pause between
/// two statements, so that any number of proxies finds its part.
class AdaptiveWindow
{
public:
    AdaptiveWindow();

    /// A statement was sent.
    void recordStart(Instant now);

    /// A statement ran in \p took, queues included.
    void recordCompletion(Instant now, Duration elapsed, std::size_t inFlight);

    /// The server had no room.
    void recordRefusal(Instant now, std::size_t inFlight);

    /// \returns whether one more may be sent while \p inFlight are.
    [[nodiscard]] bool canSend(Instant now, std::size_t inFlight) const;

    /// \returns when the last of \p ahead statements can be sent over \p connections connections.
    [[nodiscard]] Duration predictedWait(
        Instant now, std::size_t statements, std::size_t connections, Duration meanServiceTime) const;

    [[nodiscard]] double size() const;

private:
    [[nodiscard]] bool isCongested() const;
    [[nodiscard]] Duration sendInterval() const;
    void shrink(Instant now, std::size_t inFlight, double minSize);

    static constexpr double MaxSize = 64;

    double window_ = MaxSize;
    double baselineTime_; ///< Of an answer without a queue, in ticks; rises slowly.
    double recentTime_ = 0; ///< The same, over the last few answers.
    std::size_t sampleCount_ = 0; ///< Answers, up to the first refusal.
    Instant lastShrinkAt_ {};
    Instant lastRefusalAt_ {};
    Instant lastStartAt_ {};
};

} // namespace daisyrelay
