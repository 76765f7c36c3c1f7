// What this home knows of the idempotency keys that it has handled: answers duplicates without running them.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>

namespace daisyrelay {

/// The first answers by key, for a bounded time and number. Losing them is safe: the keepers still know the keys.
class KeyMemory
{
public:
    /// What is known of a key that arrives again.
    struct Record {
        WorkId running = 0; ///< The operation under way; zero once it is over.
        std::size_t statementHash = 0;
        std::optional<Expected<StatementResult>> answer; ///< The first answer, if it was certain.
        std::vector<WorkId> waiting; ///< Duplicates that wait for the answer.
    };

    /// Returns the record of \p request, or null if its key is new here.
    [[nodiscard]] Record *find(const StatementRequest &request);

    /// Remembers that \p work runs the request.
    void begin(Instant now, const StatementRequest &request, WorkId work);

    /// The request is over. A refusal that did not run is forgotten, so that its key may come again.
    /// \returns the duplicates that waited for it.
    std::vector<WorkId> end(const StatementRequest &request, const Expected<StatementResult> &answer);

    /// Forgets the request, whatever came of it. \returns the duplicates that waited for it.
    std::vector<WorkId> forget(const StatementRequest &request);

    void expire(Instant now);

    [[nodiscard]] std::size_t size() const;

private:
    using Key = std::pair<GroupKey, IdempotencyKey>;
    struct Arrival {
        Instant at;
        Key key;
        WorkId work = 0;
    };
    struct Stored {
        Record record;
        WorkId work = 0;
    };

    std::map<Key, Stored> records_;
    std::deque<Arrival> arrivals_;
};

/// Returns whether \p answer promises that the request did not run.
bool didNotRun(const Expected<StatementResult> &answer);

} // namespace daisyrelay
