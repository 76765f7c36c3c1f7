// Idempotency keys that this home has handled, with the responses for duplicates.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>

namespace daisyrelay {

/// Caches the first response for each key, limited in age and number. Losing an entry is safe, since the key stores
/// still hold the key.
class KeyResponseCache
{
public:
    /// State of one key.
    struct Record {
        WorkId runningWork = 0; ///< Operation that runs the request; zero once the operation has ended.
        std::size_t statementHash = 0;
        std::optional<Expected<StatementResult>> response; ///< First response, if its outcome was certain.
        std::vector<WorkId> waitingDuplicates; ///< Duplicates that wait for the first response.
    };

    /// Returns the record of \p request, or null if its key is not cached.
    [[nodiscard]] Record *find(const StatementRequest &request);

    /// Records that \p work runs the request.
    void recordStart(Instant now, const StatementRequest &request, WorkId work);

    /// Records the end of the request. A rejection without execution removes the key, so that the key may be used
    /// again. Returns the duplicates that waited for the response.
    std::vector<WorkId> recordResponse(const StatementRequest &request, const Expected<StatementResult> &response);

    /// Removes the request regardless of its outcome. Returns the duplicates that waited for the response.
    std::vector<WorkId> erase(const StatementRequest &request);

    void expire(Instant now);

    [[nodiscard]] std::size_t size() const;

private:
    using Key = std::pair<GroupKey, IdempotencyKey>;
    struct Arrival {
        Instant arrivedAt;
        Key key;
        WorkId work = 0;
    };
    struct Entry {
        Record record;
        WorkId work = 0;
    };

    std::map<Key, Entry> records_;
    std::deque<Arrival> arrivals_;
};

/// Returns whether \p response guarantees that the request did not run.
bool guaranteesNotRun(const Expected<StatementResult> &response);

} // namespace daisyrelay
