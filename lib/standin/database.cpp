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

static ParsedStatement parseStatement(const std::string &statement)
{
    ParsedStatement result;
    std::istringstream words(statement);
    words >> result.verb >> result.key;
    std::getline(words >> std::ws, result.value);
    return result;
}

static std::string quoteJson(const std::string &text)
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

static std::int64_t parseNumber(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Expected<std::string> Database::executeRead(const std::string &statement) const
{
    const ParsedStatement parsed = parseStatement(statement);
    if (parsed.verb != "get") {
        return tl::unexpected(Error { ErrorKind::StatementFailed, "a read must be: get KEY" });
    }
    const auto found = values_.find(parsed.key);
    return found == values_.end() ? "null" : quoteJson(found->second);
}

Expected<std::string> Database::executeStatement(const std::string &statement)
{
    const ParsedStatement parsed = parseStatement(statement);
    if (parsed.verb == "get") {
        return executeRead(statement);
    }
    if ((parsed.verb != "put" && parsed.verb != "add") || parsed.key.empty()) {
        return tl::unexpected(Error { ErrorKind::StatementFailed, "a write must be: put KEY VALUE or add KEY NUMBER" });
    }
    log_.push_back({ highestTerm_, log_.size() + 1, statement });
    applyStatement(statement);
    return quoteJson(values_[parsed.key]);
}

void Database::applyStatement(const std::string &statement)
{
    const ParsedStatement parsed = parseStatement(statement);
    if (parsed.verb == "put") {
        values_[parsed.key] = parsed.value;
    } else if (parsed.verb == "add") {
        std::string &value = values_[parsed.key];
        value = std::to_string(parseNumber(value) + parseNumber(parsed.value));
    }
}

bool Database::becomePrimary(Term term)
{
    if (term < highestTerm_) {
        return false;
    }
    if (isPrimary_ && term == highestTerm_) {
        return true;
    }
    highestTerm_ = term;
    syncedTerm_ = term;
    isPrimary_ = true;
    log_.push_back({ term, log_.size() + 1, "" });
    return true;
}

bool Database::becomeReplica(Term term)
{
    if (term < highestTerm_ || (term == highestTerm_ && isPrimary_)) {
        return false;
    }
    highestTerm_ = term;
    isPrimary_ = false;
    return true;
}

bool Database::contains(const LogPoint &point) const
{
    if (point.position == 0) {
        return true;
    }
    return point.position <= log_.size() && log_[point.position - 1].term == point.term;
}

std::vector<DatabaseEntry> Database::entriesAfter(const LogPoint &from, std::size_t maxEntries) const
{
    if (!contains(from)) {
        return {};
    }
    const auto begin = log_.begin() + static_cast<std::ptrdiff_t>(from.position);
    const auto count = std::min<std::size_t>(maxEntries, static_cast<std::size_t>(log_.end() - begin));
    return { begin, begin + static_cast<std::ptrdiff_t>(count) };
}

void Database::appendEntries(const std::vector<DatabaseEntry> &entries)
{
    for (const DatabaseEntry &entry : entries) {
        if (entry.position == log_.size() + 1) {
            log_.push_back(entry);
            applyStatement(entry.statement);
        }
    }
}

void Database::truncateAfter(Position position)
{
    if (position >= log_.size()) {
        return;
    }
    log_.resize(position);
    values_.clear();
    for (const DatabaseEntry &entry : log_) {
        applyStatement(entry.statement);
    }
}

void Database::advanceSyncedTerm(Term term)
{
    syncedTerm_ = std::max(syncedTerm_, term);
}

bool Database::isPrimary() const
{
    return isPrimary_;
}

Term Database::highestTerm() const
{
    return highestTerm_;
}

Term Database::syncedTerm() const
{
    return syncedTerm_;
}

LogPoint Database::point() const
{
    return log_.empty() ? LogPoint {} : LogPoint { log_.back().term, log_.back().position };
}

} // namespace daisyrelay
