#include "daisyrelay/telemetry/eventlog.h"

#include <charconv>

namespace daisyrelay {

static std::int64_t toMilliseconds(Duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

static bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

// Values can come from callers, so a line end in one must not start a line.
static void appendText(std::string &line, std::string_view text)
{
    if (!needsQuotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(character) < ' ' ? '?' : character;
    }
    line += '"';
}

namespace {

struct ValueWriter {
    std::string &line;

    void operator()(std::string_view text) const
    {
        appendText(line, text);
    }
    void operator()(std::uint64_t number) const
    {
        line += std::to_string(number);
    }
    void operator()(std::int64_t number) const
    {
        line += std::to_string(number);
    }
    void operator()(bool flag) const
    {
        line += flag ? "true" : "false";
    }
    void operator()(Duration duration) const
    {
        line += std::to_string(toMilliseconds(duration));
    }
};

} // namespace

EventLog::EventLog(Sink sink, std::uint32_t maxLinesPerSecond)
    : sink_(std::move(sink)), maxLinesPerSecond_(maxLinesPerSecond)
{
}

bool EventLog::tryConsumeBudget(Instant now, std::string_view event)
{
    auto found = budgetByEvent_.find(event);
    if (found == budgetByEvent_.end()) {
        found = budgetByEvent_.emplace(std::string(event), EventBudget {}).first;
    }
    EventBudget &budget = found->second;
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (budget.second != second) {
        budget.second = second;
        budget.linesWritten = 0;
    }
    if (budget.linesWritten >= maxLinesPerSecond_) {
        ++budget.suppressedLines;
        ++suppressedLines_;
        return false;
    }
    ++budget.linesWritten;
    return true;
}

void EventLog::write(Instant now, std::string_view event, std::initializer_list<LogField> fields)
{
    lineBuffer_ = "t_ms=";
    lineBuffer_ += std::to_string(toMilliseconds(now.time_since_epoch()));
    lineBuffer_ += " event=";
    lineBuffer_ += event;
    for (const LogField &field : fields) {
        lineBuffer_ += ' ';
        lineBuffer_ += field.key;
        lineBuffer_ += '=';
        std::visit(ValueWriter { lineBuffer_ }, field.value);
    }
    appendSuppressedLines(event);
    sink_(lineBuffer_);
}

void EventLog::appendSuppressedLines(std::string_view event)
{
    const auto found = budgetByEvent_.find(event);
    if (found == budgetByEvent_.end() || found->second.suppressedLines == 0) {
        return;
    }
    lineBuffer_ += " left_out=" + std::to_string(found->second.suppressedLines);
    found->second.suppressedLines = 0;
}

void EventLog::log(Instant now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (tryConsumeBudget(now, event)) {
        write(now, event, fields);
    }
}

std::uint64_t EventLog::suppressedLines() const
{
    return suppressedLines_;
}

} // namespace daisyrelay
