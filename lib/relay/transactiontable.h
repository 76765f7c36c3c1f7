// The open transactions of this entry and the outcomes of the most recently ended ones.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// An open transaction and its exclusive connection.
struct OpenTransaction {
    GroupKey group;
    ClassId classId;
    ClassTarget target;
    BackendId backend;
    ConnectionId connection = 0;
    WorkId runningWork = 0; ///< Operation that runs in the transaction, or zero.
    Term term = 0;
    Instant lastUsedAt;
};

/// Transactions by identifier. The outcomes of the most recent ones are kept, so that a repeated commit gets the first
/// response.
class TransactionTable
{
public:
    void open(const TransactionId &id, OpenTransaction transaction);

    [[nodiscard]] OpenTransaction *find(const TransactionId &id);

    /// Removes an open transaction and keeps \p outcome as the response to later requests for it.
    void close(const TransactionId &id, Expected<StatementResult> outcome);

    /// Returns the outcome of \p id, or null if it is not known.
    [[nodiscard]] const Expected<StatementResult> *outcomeOf(const TransactionId &id) const;

    [[nodiscard]] std::optional<TransactionId> transactionOnConnection(ConnectionId connection) const;

    /// Returns the transactions that have run no statement since \p since.
    [[nodiscard]] std::vector<TransactionId> idleSince(Instant since) const;

    [[nodiscard]] bool empty() const;

private:
    std::map<TransactionId, OpenTransaction> open_;
    std::map<ConnectionId, TransactionId> byConnection_;
    std::map<TransactionId, Expected<StatementResult>> outcomes_;
    std::deque<TransactionId> outcomeOrder_;
};

} // namespace daisyrelay
