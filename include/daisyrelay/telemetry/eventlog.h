// Structured log lines, at most so many of a kind in a second.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace daisyrelay {

/// One field of a line. Durations are written in milliseconds; their keys end in _ms.
struct LogField {
    using Value = std::variant<std::string_view, std::uint64_t, std::int64_t, bool, Duration>;

    std::string_view key;
    Value value;
};

/// Writes "event=NAME key=value ..." lines. What exceeds the budget of an event is counted, and the count is written
/// with the first line of a later second.
class EventLog
{
public:
    /// Receives one whole line without its end; must not block.
    using Sink = std::function<void(std::string_view line)>;

    static constexpr std::uint32_t DefaultLinesPerSecond = 20; ///< Lines a second of one event.

    explicit EventLog(Sink sink, std::uint32_t maxLinesPerSecond = DefaultLinesPerSecond);

    /// Takes one line from the budget of \p event. \returns false if it is spent; then the line is counted as left out.
    [[nodiscard]] bool tryConsumeBudget(Instant now, std::string_view event);

    /// Writes a line whose budget was taken with tryConsumeBudget().
    void write(Instant now, std::string_view event, std::initializer_list<LogField> fields);

    /// Writes a line if the budget allows it.
    void log(Instant now, std::string_view event, std::initializer_list<LogField> fields);

    [[nodiscard]] std::uint64_t suppressedLines() const;

private:
    struct EventBudget {
        std::int64_t second = -1;
        std::uint32_t linesWritten = 0;
        std::uint64_t suppressedLines = 0;
    };

    void appendSuppressedLines(std::string_view event);

    Sink sink_;
    std::uint32_t maxLinesPerSecond_;
    std::map<std::string, EventBudget, std::less<>> budgetByEvent_;
    std::uint64_t suppressedLines_ = 0;
    std::string lineBuffer_;
};

} // namespace daisyrelay
