#include "daisyrelay/telemetry/eventlog.h"

#include <charconv>

namespace daisyrelay {

static std::int64_t millisecondsOf(Duration value)
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
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(letter) < ' ' ? '?' : letter;
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
    void operator()(Duration time) const
    {
        line += std::to_string(millisecondsOf(time));
    }
};

} // namespace

EventLog::EventLog(Sink sink, std::uint32_t budget) : sink_(std::move(sink)), budget_(budget)
{
}

bool EventLog::admits(Instant now, std::string_view event)
{
    auto found = budgets_.find(event);
    if (found == budgets_.end()) {
        found = budgets_.emplace(std::string(event), Budget {}).first;
    }
    Budget &budget = found->second;
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (budget.second != second) {
        budget.second = second;
        budget.used = 0;
    }
    if (budget.used >= budget_) {
        ++budget.leftOut;
        ++leftOut_;
        return false;
    }
    ++budget.used;
    return true;
}

void EventLog::write(Instant now, std::string_view event, std::initializer_list<LogField> fields)
{
    line_ = "t_ms=";
    line_ += std::to_string(millisecondsOf(now.time_since_epoch()));
    line_ += " event=";
    line_ += event;
    for (const LogField &field : fields) {
        line_ += ' ';
        line_ += field.key;
        line_ += '=';
        std::visit(ValueWriter { line_ }, field.value);
    }
    appendLeftOut(event);
    sink_(line_);
}

void EventLog::appendLeftOut(std::string_view event)
{
    const auto found = budgets_.find(event);
    if (found == budgets_.end() || found->second.leftOut == 0) {
        return;
    }
    line_ += " left_out=" + std::to_string(found->second.leftOut);
    found->second.leftOut = 0;
}

void EventLog::log(Instant now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (admits(now, event)) {
        write(now, event, fields);
    }
}

std::uint64_t EventLog::leftOut() const
{
    return leftOut_;
}

} // namespace daisyrelay
