#include "keymemory.h"

#include <functional>

namespace daisyrelay {

static constexpr Duration RecordLife = std::chrono::minutes(5);
static constexpr std::size_t MostRecords = 20000;

bool didNotRun(const Expected<StatementResult> &answer)
{
    return !answer && errorResponseFor(answer.error().kind).executed == Executed::No;
}

KeyMemory::Record *KeyMemory::find(const StatementRequest &request)
{
    const auto found = records_.find({ request.group, request.key });
    return found == records_.end() ? nullptr : &found->second.record;
}

void KeyMemory::begin(Instant now, const StatementRequest &request, WorkId work)
{
    const Key key { request.group, request.key };
    records_[key] = { { work, std::hash<std::string>()(request.statement), std::nullopt, {} }, work };
    arrivals_.push_back({ now, key, work });
}

std::vector<WorkId> KeyMemory::end(const StatementRequest &request, const Expected<StatementResult> &answer)
{
    const auto found = records_.find({ request.group, request.key });
    if (found == records_.end()) {
        return {};
    }
    if (didNotRun(answer)) {
        return forget(request);
    }
    Record &record = found->second.record;
    std::vector<WorkId> waiting = std::exchange(record.waiting, {});
    record.running = 0;
    if (answer || errorResponseFor(answer.error().kind).executed == Executed::Yes
        || answer.error().kind == ErrorKind::StatementFailed) {
        record.answer = answer;
    }
    return waiting;
}

std::vector<WorkId> KeyMemory::forget(const StatementRequest &request)
{
    const auto found = records_.find({ request.group, request.key });
    if (found == records_.end()) {
        return {};
    }
    std::vector<WorkId> waiting = std::move(found->second.record.waiting);
    records_.erase(found);
    return waiting;
}

void KeyMemory::expire(Instant now)
{
    while (!arrivals_.empty() && (arrivals_.size() > MostRecords || arrivals_.front().at + RecordLife <= now)) {
        const auto found = records_.find(arrivals_.front().key);
        if (found != records_.end() && found->second.work == arrivals_.front().work) {
            if (found->second.record.running != 0) {
                return;
            }
            records_.erase(found);
        }
        arrivals_.pop_front();
    }
}

std::size_t KeyMemory::size() const
{
    return records_.size();
}

} // namespace daisyrelay
