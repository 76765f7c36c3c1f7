#include "replicator.h"

#include "jsonvalues.h"
#include "timers.h"

#include <algorithm>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration PullTimeout = std::chrono::milliseconds(500);
static constexpr Duration PullRetryDelay = std::chrono::milliseconds(20);
static constexpr std::size_t MaxEntriesPerPull = 256;

Replicator::Replicator(
    boost::asio::io_context &context, Database &database, const Faults &faults, std::function<void()> onLogChanged)
    : context_(context), database_(database), faults_(faults), onLogChanged_(std::move(onLogChanged))
{
}

void Replicator::followPrimary(const Endpoint &primary)
{
    primary_ = primary;
    connection_.reset();
}

void Replicator::pullEntries()
{
    if (database_.isPrimary() || primary_.port == 0 || faults_.isIsolated
        || faults_.unreachableHosts.contains(primary_.host)) {
        callAfter(context_, PullRetryDelay, [this]() { pullEntries(); });
        return;
    }
    if (!connection_ || !connection_->isOpen()) {
        connection_ = std::make_unique<HttpConnection>(context_);
        connection_->connect(primary_, PullTimeout, [this](bool connected) {
            callAfter(context_, connected ? Duration::zero() : PullRetryDelay, [this]() { pullEntries(); });
        });
        return;
    }
    const LogPoint from = database_.point();
    HttpRequest request;
    request.method = "GET";
    request.target = "/replicate?from=" + std::to_string(from.position) + "&term=" + std::to_string(from.term);
    connection_->request(request, PullTimeout, [this](const std::optional<HttpResponse> &response) {
        if (!response) {
            callAfter(context_, PullRetryDelay, [this]() { pullEntries(); });
            return;
        }
        callAfter(context_, faults_.replicationLag, [this, body = response->body]() {
            onPullResponse(parseObject(body));
            pullEntries();
        });
    });
}

void Replicator::onPullResponse(const json::object &body)
{
    const Term term = numberField(body, "term");
    if (database_.isPrimary() || faults_.isIsolated || !boolField(body, "primary") || term < database_.highestTerm()) {
        return;
    }
    if (!boolField(body, "matches")) {
        const Position lastPosition = database_.point().position;
        database_.truncateAfter(std::min(lastPosition == 0 ? 0 : lastPosition - 1, numberField(body, "last")));
        return;
    }
    std::vector<DatabaseEntry> entries;
    for (const json::value &value : body.at("entries").as_array()) {
        const json::object &entry = value.as_object();
        entries.push_back(
            { numberField(entry, "term"), numberField(entry, "position"), stringField(entry, "statement") });
    }
    database_.appendEntries(entries);
    database_.advanceSyncedTerm(term);
    onLogChanged_();
}

std::string Replicator::buildPullResponse(const Database &database, const LogPoint &from)
{
    json::array entries;
    for (const DatabaseEntry &entry : database.entriesAfter(from, MaxEntriesPerPull)) {
        entries.emplace_back(
            json::object { { "term", entry.term }, { "position", entry.position }, { "statement", entry.statement } });
    }
    return json::serialize(json::object { { "primary", database.isPrimary() }, { "term", database.highestTerm() },
        { "matches", database.contains(from) }, { "last", database.point().position },
        { "entries", std::move(entries) } });
}

} // namespace daisyrelay
