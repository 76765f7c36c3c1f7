#include "transactiontable.h"

namespace daisyrelay {

static constexpr std::size_t MaxOutcomes = 4096;

void TransactionTable::open(const TransactionId &id, OpenTransaction transaction)
{
    byConnection_[transaction.connection] = id;
    open_.insert_or_assign(id, std::move(transaction));
}

OpenTransaction *TransactionTable::find(const TransactionId &id)
{
    const auto found = open_.find(id);
    return found == open_.end() ? nullptr : &found->second;
}

void TransactionTable::close(const TransactionId &id, Expected<StatementResult> outcome)
{
    if (const auto found = open_.find(id); found != open_.end()) {
        byConnection_.erase(found->second.connection);
        open_.erase(found);
    }
    if (outcomes_.insert_or_assign(id, std::move(outcome)).second) {
        outcomeOrder_.push_back(id);
    }
    if (outcomeOrder_.size() > MaxOutcomes) {
        outcomes_.erase(outcomeOrder_.front());
        outcomeOrder_.pop_front();
    }
}

const Expected<StatementResult> *TransactionTable::outcomeOf(const TransactionId &id) const
{
    const auto found = outcomes_.find(id);
    return found == outcomes_.end() ? nullptr : &found->second;
}

std::optional<TransactionId> TransactionTable::transactionOnConnection(ConnectionId connection) const
{
    const auto found = byConnection_.find(connection);
    return found == byConnection_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<TransactionId> TransactionTable::idleSince(Instant since) const
{
    std::vector<TransactionId> result;
    for (const auto &[id, transaction] : open_) {
        if (transaction.runningWork == 0 && transaction.lastUsedAt <= since) {
            result.push_back(id);
        }
    }
    return result;
}

bool TransactionTable::empty() const
{
    return open_.empty();
}

} // namespace daisyrelay
