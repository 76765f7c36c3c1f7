// Structured log lines with a rate limit for each event.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace daisyrelay {

/// One field of a line. Durations are written in milliseconds, so their keys end in _ms.
struct LogField {
    using Value = std::variant<std::string_view, std::uint64_t, std::int64_t, bool, Duration>;

    std::string_view key;
    Value value;
};

/// Writes lines of the form "t_ms=TIME event=NAME key=value ...". Lines beyond the limit of an event are suppressed and
/// counted; the next line of the event carries the count.
class EventLog
{
public:
    /// Receives one line without a line terminator; must not block.
    using Sink = std::function<void(std::string_view line)>;

    static constexpr std::uint32_t DefaultLinesPerSecond = 20; ///< Limit for each event.

    explicit EventLog(Sink sink, std::uint32_t maxLinesPerSecond = DefaultLinesPerSecond);

    /// Uses one line of the budget that \p event has in the current second.
    /// \returns false if the budget is exhausted, in which case the line is counted as suppressed.
    [[nodiscard]] bool tryConsumeBudget(Instant now, std::string_view event);

    /// Writes a line for which tryConsumeBudget() returned true.
    void write(Instant now, std::string_view event, std::initializer_list<LogField> fields);

    /// Writes a line unless the budget of \p event is exhausted.
    void log(Instant now, std::string_view event, std::initializer_list<LogField> fields);

    /// Returns the number of lines suppressed since the start, over all events.
    [[nodiscard]] std::uint64_t suppressedLines() const;

private:
    struct EventBudget {
        std::int64_t second = -1; ///< Second that linesWritten refers to.
        std::uint32_t linesWritten = 0;
        std::uint64_t suppressedLines = 0; ///< Suppressed lines that the log has not reported yet.
    };

    void appendSuppressedLines(std::string_view event);

    Sink sink_;
    std::uint32_t maxLinesPerSecond_;
    std::map<std::string, EventBudget, std::less<>> budgetByEvent_;
    std::uint64_t suppressedLines_ = 0;
    std::string lineBuffer_;
};

} // namespace daisyrelay
