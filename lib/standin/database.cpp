#include "daisyrelay/standin/database.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace daisyrelay {

namespace {

/// A parsed statement of the stand-in's small language.
struct ParsedStatement {
    std::string verb;
    std::string key;
    std::string value;
};

} // namespace

static ParsedStatement parse(const std::string &statement)
{
    ParsedStatement result;
    std::istringstream words(statement);
    words >> result.verb >> result.key;
    std::getline(words >> std::ws, result.value);
    return result;
}

static std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result.push_back('\\');
        }
        result.push_back(character);
    }
    return result + "\"";
}

static std::int64_t toNumber(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Expected<std::string> Database::read(const std::string &statement) const
{
    const ParsedStatement parsed = parse(statement);
    if (parsed.verb != "get") {
        return tl::unexpected(Error { ErrorKind::StatementFailed, "a read must be: get KEY" });
    }
    const auto found = values_.find(parsed.key);
    return found == values_.end() ? "null" : quoted(found->second);
}

Expected<std::string> Database::execute(const std::string &statement)
{
    const ParsedStatement parsed = parse(statement);
    if (parsed.verb == "get") {
        return read(statement);
    }
    if ((parsed.verb != "put" && parsed.verb != "add") || parsed.key.empty()) {
        return tl::unexpected(Error { ErrorKind::StatementFailed, "a write must be: put KEY VALUE or add KEY NUMBER" });
    }
    log_.push_back({ knownTerm_, log_.size() + 1, statement });
    apply(statement);
    return quoted(values_[parsed.key]);
}

void Database::apply(const std::string &statement)
{
    const ParsedStatement parsed = parse(statement);
    if (parsed.verb == "put") {
        values_[parsed.key] = parsed.value;
    } else if (parsed.verb == "add") {
        std::string &value = values_[parsed.key];
        value = std::to_string(toNumber(value) + toNumber(parsed.value));
    }
}

bool Database::promote(Term term)
{
    if (term < knownTerm_) {
        return false;
    }
    if (primary_ && term == knownTerm_) {
        return true;
    }
    knownTerm_ = term;
    joinedTerm_ = term;
    primary_ = true;
    log_.push_back({ term, log_.size() + 1, "" });
    return true;
}

bool Database::follow(Term term)
{
    if (term < knownTerm_ || (term == knownTerm_ && primary_)) {
        return false;
    }
    knownTerm_ = term;
    primary_ = false;
    return true;
}

bool Database::holds(const LogPoint &point) const
{
    if (point.position == 0) {
        return true;
    }
    return point.position <= log_.size() && log_[point.position - 1].term == point.term;
}

std::vector<DatabaseEntry> Database::entriesAfter(const LogPoint &from, std::size_t most) const
{
    if (!holds(from)) {
        return {};
    }
    const auto begin = log_.begin() + static_cast<std::ptrdiff_t>(from.position);
    const auto count = std::min<std::size_t>(most, static_cast<std::size_t>(log_.end() - begin));
    return { begin, begin + static_cast<std::ptrdiff_t>(count) };
}

void Database::append(const std::vector<DatabaseEntry> &entries)
{
    for (const DatabaseEntry &entry : entries) {
        if (entry.position == log_.size() + 1) {
            log_.push_back(entry);
            apply(entry.statement);
        }
    }
}

void Database::truncate(Position position)
{
    if (position >= log_.size()) {
        return;
    }
    log_.resize(position);
    values_.clear();
    for (const DatabaseEntry &entry : log_) {
        apply(entry.statement);
    }
}

void Database::joined(Term term)
{
    joinedTerm_ = std::max(joinedTerm_, term);
}

bool Database::isPrimary() const
{
    return primary_;
}

Term Database::knownTerm() const
{
    return knownTerm_;
}

Term Database::joinedTerm() const
{
    return joinedTerm_;
}

LogPoint Database::point() const
{
    return log_.empty() ? LogPoint {} : LogPoint { log_.back().term, log_.back().position };
}

} // namespace daisyrelay
