// Where the logs of the databases stand: the primary's position over time, and how far the replicas are.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration MeasureInterval = std::chrono::milliseconds(200);
static constexpr std::int64_t RetryAfterMs = 100;

void RelayCore::Impl::announced(Instant now, const BackendAnnouncement &announcement)
{
    backends_.recordAnnouncement(now, announcement);
    replicaReached(now, announcement.id, announcement.group, announcement.point);
}

bool RelayCore::Impl::countsAsCopy(const BackendId &backend, const GroupKey &group) const
{
    const GroupTerm *term = lease_.findTerm(group);
    if (term == nullptr || term->primary == backend) {
        return false;
    }
    // Only a member is sure to be asked before the next promotion.
    return term->members.empty()
        || std::find(term->members.begin(), term->members.end(), backend) != term->members.end();
}

void RelayCore::Impl::watch(Instant now, const BackendId &backend, const GroupKey &group, Position minPosition)
{
    const GroupTerm *term = lease_.findTerm(group);
    if (term == nullptr || backends_.find(backend) == nullptr) {
        return;
    }
    if (!watches_.try_emplace(backend, OpenWatch { now, term->term }).second) {
        return;
    }
    if (watched_.insert(backend).second) {
        updatePools(now);
        drainPool(now, backend);
    }
    actions_.emplace_back(WatchReplica { backend, addressOf(backend), minPosition });
}

void RelayCore::Impl::watchReplicas(Instant now, const GroupKey &group)
{
    const std::optional<LogPoint> lowest = replication_.lowest(group);
    const GroupTerm *term = lease_.findTerm(group);
    if (!lowest || term == nullptr) {
        return;
    }
    for (const BackendState *state : backends_.backendsOfGroup(group)) {
        if (countsAsCopy(state->announcement.id, group)) {
            watch(now, state->announcement.id, group, lowest->position);
        }
    }
}

void RelayCore::Impl::replicaAt(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    const auto open = watches_.find(backend);
    const BackendState *state = backends_.find(backend);
    if (open == watches_.end()) {
        return;
    }
    const OpenWatch asked = open->second;
    watches_.erase(open);
    if (state == nullptr) {
        return;
    }
    const GroupKey group = state->announcement.group;
    const GroupTerm *term = lease_.findTerm(group);
    const bool isPrimary = term != nullptr && term->primary == backend;
    if (!point) {
        const Error error { ErrorKind::TooStale, "a position could not be asked for", RetryAfterMs };
        abandon(now, catchingUp_[backend], OperationStage::CatchingUp, error);
        if (isPrimary) {
            abandon(now, measuring_[group], OperationStage::Measuring, error);
        }
        return;
    }
    backends_.recordPoint(now, backend, *point);
    if (isPrimary && lease_.isValidAt(now) && asked.term == term->term && point->term == term->term) {
        backends_.recordMeasuredPrimary(now, asked.askedAt, group, *point);
        resume(now, measuring_[group], OperationStage::Measuring);
    }
    replicaReached(now, backend, group, *point);
    resume(now, catchingUp_[backend], OperationStage::CatchingUp);
    watchReplicas(now, group);
}

void RelayCore::Impl::replicaReached(
    Instant now, const BackendId &backend, const GroupKey &group, const LogPoint &point)
{
    if (!countsAsCopy(backend, group)) {
        return;
    }
    for (const WorkId id : replication_.takeReached(group, point)) {
        Operation *operation = operations_.find(id);
        if (operation == nullptr) {
            continue;
        }
        operation->stage = OperationStage::Routing;
        if (mayAcknowledge(now, group, operation->route.term)) {
            const StatementResult result = operation->result;
            finish(now, id, result);
        } else {
            fail(now, *operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", 0 });
        }
    }
}

void RelayCore::Impl::resume(Instant now, std::vector<WorkId> &waiting, OperationStage stage)
{
    for (const WorkId id : std::exchange(waiting, {})) {
        if (Operation *operation = operations_.find(id); operation != nullptr && operation->stage == stage) {
            readReplica(now, *operation);
        }
    }
}

void RelayCore::Impl::abandon(Instant now, std::vector<WorkId> &waiting, OperationStage stage, const Error &error)
{
    for (const WorkId id : std::exchange(waiting, {})) {
        if (Operation *operation = operations_.find(id); operation != nullptr && operation->stage == stage) {
            fail(now, *operation, error);
        }
    }
}

void RelayCore::Impl::measurePrimaries(Instant now)
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
        if (Instant &last = measuredAt_[group]; last + MeasureInterval <= now) {
            last = now;
            watch(now, term->primary, group, 0);
        }
    }
}

} // namespace daisyrelay
