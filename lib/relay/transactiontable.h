// The open transactions that this entry holds, and how the last ones ended.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// An open transaction and the connection that belongs to it alone.
struct OpenTransaction {
    GroupKey group;
    ClassId classId;
    ClassTarget target;
    BackendId backend;
    ConnectionId connection = 0;
    WorkId runningWork = 0; ///< The operation under way, or zero.
    Term term = 0;
    Instant lastUsedAt;
};

/// Transactions by identifier. The ends of the most recent ones are kept, so that a commit that is sent again gets the
/// first answer.
class TransactionTable
{
public:
    void open(const TransactionId &id, OpenTransaction transaction);

    [[nodiscard]] OpenTransaction *find(const TransactionId &id);

    /// Removes an open transaction and remembers \p end as the answer to whatever is asked of it later.
    void close(const TransactionId &id, Expected<StatementResult> outcome);

    /// Returns how \p id ended.
    [[nodiscard]] const Expected<StatementResult> *outcomeOf(const TransactionId &id) const;

    [[nodiscard]] std::optional<TransactionId> transactionOnConnection(ConnectionId connection) const;

    /// Returns the transactions that have run nothing since \p since.
    [[nodiscard]] std::vector<TransactionId> idleSince(Instant since) const;

    [[nodiscard]] bool empty() const;

private:
    std::map<TransactionId, OpenTransaction> open_;
    std::map<ConnectionId, TransactionId> byConnection_;
    std::map<TransactionId, Expected<StatementResult>> outcomes_;
    std::deque<TransactionId> outcomeOrder_;
};

} // namespace daisyrelay
