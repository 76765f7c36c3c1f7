// What this home knows of the idempotency keys that it has handled: answers duplicates without running them.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>

namespace daisyrelay {

/// The first answers by key, for a bounded time and number. Losing them is safe: the keepers still know the keys.
class KeyResponseCache
{
public:
    /// What is known of a key that arrives again.
    struct Record {
        WorkId runningWork = 0; ///< The operation under way; zero once it is over.
        std::size_t statementHash = 0;
        std::optional<Expected<StatementResult>> response; ///< The first answer, if it was certain.
        std::vector<WorkId> waitingDuplicates; ///< Duplicates that wait for the answer.
    };

    /// Returns the record of \p request, or null if its key is new here.
    [[nodiscard]] Record *find(const StatementRequest &request);

    /// Remembers that \p work runs the request.
    void recordStart(Instant now, const StatementRequest &request, WorkId work);

    /// The request is over. A refusal that did not run is forgotten, so that its key may come again.
    /// \returns the duplicates that waited for it.
    std::vector<WorkId> recordResponse(const StatementRequest &request, const Expected<StatementResult> &response);

    /// Forgets the request, whatever came of it. \returns the duplicates that waited for it.
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

/// Returns whether \p answer promises that the request did not run.
bool guaranteesNotRun(const Expected<StatementResult> &response);

} // namespace daisyrelay
