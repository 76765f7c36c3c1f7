// The state and the steps of RelayCore.
#pragma once

#include "daisyrelay/relay/relaycore.h"

#include "operation.h"

#include <map>

namespace daisyrelay {

/// An open transaction and the connection that belongs to it alone.
struct OpenTransaction {
    GroupKey group;
    ClassTarget target;
    BackendId backend;
    ConnectionId connection = 0;
    WorkId running = 0; ///< The operation under way, or zero.
    Term term = 0;
    Instant lastUse;
};

class RelayCore::Impl
{
public:
    Impl(RelayOptions options, Counters &counters);

    void acceptCaller(Instant now, const CallerRequest &caller);
    void acceptForward(Instant now, const VmId &from, const ForwardRequest &forward);
    void forwardAnswered(Instant now, const VmId &from, const ForwardAnswer &answer);
    void peerUnreachable(Instant now, const VmId &vm);
    void connectionOpened(Instant now, ConnectionId connection);
    void connectionClosed(Instant now, ConnectionId connection);
    void replied(Instant now, const BackendReply &reply);
    void replicaAt(Instant now, const BackendId &backend, std::optional<LogPoint> point);
    void setLease(Instant now, const LeaseState &lease);
    void tick(Instant now);
    [[nodiscard]] std::vector<BackendView> views(Instant now) const;

    RelayOptions options_;
    Counters &counters_;
    TokenCodec tokens_;
    Router router_;
    BackendTable backends_;
    LeaseState lease_;
    std::uint64_t configVersion_ = 0;
    Configuration configuration_;
    bool draining_ = false;
    std::map<WorkId, Operation> operations_;
    std::map<TransactionId, OpenTransaction> transactions_;
    std::vector<RelayAction> actions_;

private:
    Expected<Operation> checkCaller(Instant now, const CallerRequest &caller);
    Expected<void> checkTarget(Operation &operation) const;
    void route(Instant now, Operation operation);
    void runLocally(Instant now, Operation operation);
    void runInTransaction(Instant now, Operation operation);
    void forward(Instant now, Operation operation, const VmId &to);
    void drainPool(Instant now, const BackendId &backend);
    void send(Instant now, Operation &operation, ConnectionId connection);
    void succeeded(Instant now, Operation &operation, const BackendReply &reply);
    void releaseConnection(Instant now, const Operation &operation, bool reusable);
    void finish(Instant now, WorkId id, const Expected<StatementResult> &answer);
    void fail(Instant now, WorkId id, ErrorKind kind, std::string detail);
    void answer(const Operation &operation, const Expected<StatementResult> &answer);
    void watchReplicas(const GroupKey &group);
    void updatePools(Instant now);
    ConnectionPool &poolOf(const BackendId &backend);
    [[nodiscard]] bool mayAcknowledge(Instant now, const GroupKey &group, Term term) const;
    [[nodiscard]] Endpoint addressOf(const BackendId &backend) const;

    WorkId nextWork_ = 1;
    ConnectionId nextConnection_ = 1;
    std::map<BackendId, ConnectionPool> pools_;
    std::map<ConnectionId, BackendId> connections_;
    std::map<BackendId, Position> watches_;
    std::map<BackendId, Instant> failingSince_; ///< Servers whose last connection attempt or statement failed.
};

} // namespace daisyrelay
