// Where the logs of the databases stand: the primary's position over time, and how far the replicas are.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration PrimaryPositionInterval = std::chrono::milliseconds(200);
static constexpr std::int64_t RetryAfterMs = 100;

void RelayCore::Impl::handleAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    backends_.recordAnnouncement(now, announcement);
    handleReplicaProgress(now, announcement.id, announcement.group, announcement.point);
}

bool RelayCore::Impl::countsTowardReplication(const BackendId &backend, const GroupKey &group) const
{
    const GroupTerm *term = lease_.findTerm(group);
    if (term == nullptr || term->primary == backend) {
        return false;
    }
    // Only a member is sure to be asked before the next promotion.
    return term->members.empty()
        || std::find(term->members.begin(), term->members.end(), backend) != term->members.end();
}

void RelayCore::Impl::requestPosition(
    Instant now, const BackendId &backend, const GroupKey &group, Position minPosition)
{
    const GroupTerm *term = lease_.findTerm(group);
    if (term == nullptr || backends_.find(backend) == nullptr) {
        return;
    }
    if (!positionRequests_.try_emplace(backend, PositionRequest { now, term->term }).second) {
        return;
    }
    if (positionConnections_.insert(backend).second) {
        updatePoolLimits(now);
        performPoolActions(now, backend);
    }
    actions_.emplace_back(AwaitBackendPosition { backend, addressOf(backend), minPosition });
}

void RelayCore::Impl::requestReplicaPositions(Instant now, const GroupKey &group)
{
    const std::optional<LogPoint> lowest = pendingReplication_.lowestPoint(group);
    const GroupTerm *term = lease_.findTerm(group);
    if (!lowest || term == nullptr) {
        return;
    }
    for (const BackendState *state : backends_.backendsOfGroup(group)) {
        if (countsTowardReplication(state->announcement.id, group)) {
            requestPosition(now, state->announcement.id, group, lowest->position);
        }
    }
}

void RelayCore::Impl::handleBackendPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    const auto pending = positionRequests_.find(backend);
    const BackendState *state = backends_.find(backend);
    if (pending == positionRequests_.end()) {
        return;
    }
    const PositionRequest request = pending->second;
    positionRequests_.erase(pending);
    if (state == nullptr) {
        return;
    }
    const GroupKey group = state->announcement.group;
    const GroupTerm *term = lease_.findTerm(group);
    const bool isPrimary = term != nullptr && term->primary == backend;
    if (!point) {
        const Error error { ErrorKind::TooStale, "a position could not be asked for", RetryAfterMs };
        failReads(now, awaitingReplica_[backend], OperationStage::AwaitingReplica, error);
        if (isPrimary) {
            failReads(now, awaitingPrimaryPosition_[group], OperationStage::AwaitingPrimaryPosition, error);
        }
        return;
    }
    backends_.recordPoint(now, backend, *point);
    if (isPrimary && lease_.isValidAt(now) && request.term == term->term && point->term == term->term) {
        backends_.recordMeasuredPrimary(now, request.requestedAt, group, *point);
        resumeReads(now, awaitingPrimaryPosition_[group], OperationStage::AwaitingPrimaryPosition);
    }
    handleReplicaProgress(now, backend, group, *point);
    resumeReads(now, awaitingReplica_[backend], OperationStage::AwaitingReplica);
    requestReplicaPositions(now, group);
}

void RelayCore::Impl::handleReplicaProgress(
    Instant now, const BackendId &backend, const GroupKey &group, const LogPoint &point)
{
    if (!countsTowardReplication(backend, group)) {
        return;
    }
    for (const WorkId id : pendingReplication_.takeReplicated(group, point)) {
        Operation *operation = operations_.find(id);
        if (operation == nullptr) {
            continue;
        }
        operation->stage = OperationStage::Routing;
        if (canAcknowledge(now, group, operation->route.term)) {
            const StatementResult result = operation->result;
            finish(now, id, result);
        } else {
            fail(now, *operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", 0 });
        }
    }
}

void RelayCore::Impl::resumeReads(Instant now, std::vector<WorkId> &waiting, OperationStage stage)
{
    for (const WorkId id : std::exchange(waiting, {})) {
        if (Operation *operation = operations_.find(id); operation != nullptr && operation->stage == stage) {
            readFromReplica(now, *operation);
        }
    }
}

void RelayCore::Impl::failReads(Instant now, std::vector<WorkId> &waiting, OperationStage stage, const Error &error)
{
    for (const WorkId id : std::exchange(waiting, {})) {
        if (Operation *operation = operations_.find(id); operation != nullptr && operation->stage == stage) {
            fail(now, *operation, error);
        }
    }
}

void RelayCore::Impl::refreshPrimaryPositions(Instant now)
{
    if (!lease_.isValidAt(now)) {
        return;
    }
    for (const HomeGrant &grant : lease_.table.homes) {
        const BackendState *state = grant.entry == options_.vm ? backends_.find(grant.backend) : nullptr;
        if (state == nullptr) {
            continue;
        }
        const GroupKey &group = state->announcement.group;
        const GroupTerm *term = lease_.findTerm(group);
        if (term == nullptr || term->primary.empty() || term->primary == grant.backend) {
            continue;
        }
        if (Instant &lastRequestedAt = primaryPositionRequestedAt_[group];
            lastRequestedAt + PrimaryPositionInterval <= now) {
            lastRequestedAt = now;
            requestPosition(now, term->primary, group, 0);
        }
    }
}

} // namespace daisyrelay
