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
    void started(Instant now);

    /// A statement ran in \p took, queues included.
    void ran(Instant now, Duration took, std::size_t underWay);

    /// The server had no room.
    void refused(Instant now, std::size_t underWay);

    /// \returns whether one more may be sent while \p underWay are.
    [[nodiscard]] bool admits(Instant now, std::size_t underWay) const;

    /// \returns when the last of \p ahead statements can be sent over \p connections connections.
    [[nodiscard]] Duration waitFor(Instant now, std::size_t ahead, std::size_t connections, Duration meanTime) const;

    [[nodiscard]] double size() const;

private:
    [[nodiscard]] bool crowded() const;
    [[nodiscard]] Duration pause() const;
    void shrink(Instant now, std::size_t underWay, double least);

    static constexpr double Largest = 64;

    double window_ = Largest;
    double usualTime_; ///< Of an answer without a queue, in ticks; rises slowly.
    double recentTime_ = 0; ///< The same, over the last few answers.
    std::size_t learned_ = 0; ///< Answers, up to the first refusal.
    Instant shrunkAt_ {};
    Instant refusedAt_ {};
    Instant startedAt_ {};
};

} // namespace daisyrelay
