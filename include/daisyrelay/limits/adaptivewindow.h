// Limits the statements that one proxy has in flight on a server shared with proxies that it does not coordinate with.
#pragma once

#include "daisyrelay/limits/servicetime.h"

namespace daisyrelay {

/// Controls concurrency by additive increase and multiplicative decrease. The window shrinks on rejections and on
/// responses that take much longer than usual. If one statement in flight per proxy already overloads the server, the
/// window falls below one and acts as a minimum interval between two statements, so that any number of proxies gets a
/// share of the server.
class AdaptiveWindow
{
public:
    AdaptiveWindow();

    /// Records that a statement was sent.
    void recordStart(Instant now);

    /// Records that a statement completed after \p elapsed, which includes its time in the queue of the server.
    void recordCompletion(Instant now, Duration elapsed, std::size_t inFlight);

    /// Records that the server rejected a statement because its queue was full.
    void recordRejection(Instant now, std::size_t inFlight);

    /// Returns whether another statement may be sent while \p inFlight statements are in flight.
    [[nodiscard]] bool canSend(Instant now, std::size_t inFlight) const;

    /// Returns the time until the last of \p statements queued statements can be sent over \p connections connections.
    [[nodiscard]] Duration predictedWait(
        Instant now, std::size_t statements, std::size_t connections, Duration meanServiceTime) const;

    [[nodiscard]] double size() const;

private:
    [[nodiscard]] bool isCongested() const;
    [[nodiscard]] Duration sendInterval() const;
    void shrink(Instant now, std::size_t inFlight, double minSize);

    static constexpr double MaxSize = 64;

    double window_ = MaxSize;
    double baselineTime_; ///< Estimated response time without queueing, in ticks of Duration; rises slowly.
    double recentTime_ = 0; ///< Mean response time of the last few statements, in ticks of Duration.
    std::size_t sampleCount_ = 0; ///< Number of responses; set to InitialSampleCount by a rejection.
    Instant lastShrinkAt_ {};
    Instant lastRejectionAt_ {};
    Instant lastStartAt_ {};
};

} // namespace daisyrelay
