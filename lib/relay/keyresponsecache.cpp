#include "keyresponsecache.h"

#include <functional>

namespace daisyrelay {

static constexpr Duration RecordRetention = std::chrono::minutes(5);
static constexpr std::size_t MaxRecords = 20000;

bool guaranteesNotRun(const Expected<StatementResult> &response)
{
    return !response && errorResponseFor(response.error().kind).executed == Executed::No;
}

KeyResponseCache::Record *KeyResponseCache::find(const StatementRequest &request)
{
    const auto found = records_.find({ request.group, request.key });
    return found == records_.end() ? nullptr : &found->second.record;
}

void KeyResponseCache::recordStart(Instant now, const StatementRequest &request, WorkId work)
{
    const Key key { request.group, request.key };
    records_[key] = { { work, std::hash<std::string>()(request.statement), std::nullopt, {} }, work };
    arrivals_.push_back({ now, key, work });
}

std::vector<WorkId> KeyResponseCache::recordResponse(
    const StatementRequest &request, const Expected<StatementResult> &response)
{
    const auto found = records_.find({ request.group, request.key });
    if (found == records_.end()) {
        return {};
    }
    if (guaranteesNotRun(response)) {
        return erase(request);
    }
    Record &record = found->second.record;
    std::vector<WorkId> duplicates = std::exchange(record.waitingDuplicates, {});
    record.runningWork = 0;
    if (response || errorResponseFor(response.error().kind).executed == Executed::Yes
        || response.error().kind == ErrorKind::StatementFailed) {
        record.response = response;
    }
    return duplicates;
}

std::vector<WorkId> KeyResponseCache::erase(const StatementRequest &request)
{
    const auto found = records_.find({ request.group, request.key });
    if (found == records_.end()) {
        return {};
    }
    std::vector<WorkId> duplicates = std::move(found->second.record.waitingDuplicates);
    records_.erase(found);
    return duplicates;
}

void KeyResponseCache::expire(Instant now)
{
    while (
        !arrivals_.empty() && (arrivals_.size() > MaxRecords || arrivals_.front().arrivedAt + RecordRetention <= now)) {
        const auto found = records_.find(arrivals_.front().key);
        if (found != records_.end() && found->second.work == arrivals_.front().work) {
            if (found->second.record.runningWork != 0) {
                return;
            }
            records_.erase(found);
        }
        arrivals_.pop_front();
    }
}

std::size_t KeyResponseCache::size() const
{
    return records_.size();
}

} // namespace daisyrelay
