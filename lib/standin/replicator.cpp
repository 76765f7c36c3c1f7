#include "replicator.h"

#include "jsonvalues.h"
#include "timers.h"

#include <algorithm>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration PullTimeout = std::chrono::milliseconds(500);
static constexpr Duration PullRetry = std::chrono::milliseconds(20);
static constexpr std::size_t MostEntries = 256;

Replicator::Replicator(
    boost::asio::io_context &context, Database &database, const Faults &faults, std::function<void()> onAdvanced)
    : context_(context), database_(database), faults_(faults), onAdvanced_(std::move(onAdvanced))
{
}

void Replicator::follow(const Endpoint &primary)
{
    primary_ = primary;
    connection_.reset();
}

void Replicator::pull()
{
    if (database_.isPrimary() || primary_.port == 0 || faults_.cut || faults_.cutHosts.contains(primary_.host)) {
        callAfter(context_, PullRetry, [this]() { pull(); });
        return;
    }
    if (!connection_ || !connection_->isOpen()) {
        connection_ = std::make_unique<HttpConnection>(context_);
        connection_->connect(primary_, PullTimeout, [this](bool connected) {
            callAfter(context_, connected ? Duration::zero() : PullRetry, [this]() { pull(); });
        });
        return;
    }
    const LogPoint from = database_.point();
    HttpRequest request;
    request.method = "GET";
    request.target = "/replicate?from=" + std::to_string(from.position) + "&term=" + std::to_string(from.term);
    connection_->request(request, PullTimeout, [this](const std::optional<HttpResponse> &response) {
        if (!response) {
            callAfter(context_, PullRetry, [this]() { pull(); });
            return;
        }
        callAfter(context_, faults_.lag, [this, body = response->body]() {
            onAnswer(parsedBody(body));
            pull();
        });
    });
}

void Replicator::onAnswer(const json::object &body)
{
    const Term term = numberOf(body, "term");
    if (database_.isPrimary() || faults_.cut || !flagOf(body, "primary") || term < database_.knownTerm()) {
        return;
    }
    if (!flagOf(body, "matches")) {
        const Position own = database_.point().position;
        database_.truncate(std::min(own == 0 ? 0 : own - 1, numberOf(body, "last")));
        return;
    }
    std::vector<DatabaseEntry> entries;
    for (const json::value &value : body.at("entries").as_array()) {
        const json::object &entry = value.as_object();
        entries.push_back({ numberOf(entry, "term"), numberOf(entry, "position"), textOf(entry, "statement") });
    }
    database_.append(entries);
    database_.joined(term);
    onAdvanced_();
}

std::string Replicator::answerFrom(const Database &database, const LogPoint &from)
{
    json::array entries;
    for (const DatabaseEntry &entry : database.entriesAfter(from, MostEntries)) {
        entries.emplace_back(
            json::object { { "term", entry.term }, { "position", entry.position }, { "statement", entry.statement } });
    }
    return json::serialize(json::object { { "primary", database.isPrimary() }, { "term", database.knownTerm() },
        { "matches", database.holds(from) }, { "last", database.point().position },
        { "entries", std::move(entries) } });
}

} // namespace daisyrelay
