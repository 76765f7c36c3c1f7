// The survey of a failover: which servers are asked, and which of them is promoted.
#include "daisyrelay/supervision/primarymonitor.h"

#include <algorithm>
#include <tuple>

namespace daisyrelay {

bool PrimaryMonitor::isAlive(Instant now, const MonitorContext &context, const BackendId &backend) const
{
    const auto lastHeartbeat = context.lastHeartbeatAt.find(backend);
    return lastHeartbeat != context.lastHeartbeatAt.end() ? now - lastHeartbeat->second < timing_.maxBackendSilence
                                                          : now - createdAt_ < timing_.maxBackendSilence;
}

std::vector<const BackendRecord *> PrimaryMonitor::replicas(
    Instant now, const MonitorContext &context, const BackendId &primary) const
{
    std::vector<const BackendRecord *> found;
    for (const auto &[id, backend] : context.state.backends()) {
        // A silent server may still receive from the primary, and acknowledge commits that no other one holds.
        const bool mustAsk = mustPauseReplication(context) || isAlive(now, context, id);
        if (backend.service == service_ && id != primary && mustAsk) {
            found.push_back(&backend);
        }
    }
    return found;
}

// If writes wait for a replica, replication is paused so that the survey does not miss a write that is acknowledged
// while it runs.
bool PrimaryMonitor::mustPauseReplication(const MonitorContext &context) const
{
    const ServiceLimits *limits = context.state.limitsOf(service_);
    return limits != nullptr && limits->syncReplicas > 0;
}

bool PrimaryMonitor::mayNeedReplica(Instant now, const MonitorContext &context, const BackendId &replica) const
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const bool isLeading = stage_ == Stage::Monitoring && lastProbeResult_ == ProbeResult::IsPrimary && paused_.empty()
        && now >= retryAt_;
    return !isLeading && mustPauseReplication(context) && primary != nullptr && primary->backend != replica;
}

// Replicas that stay paused would keep the commits of the primary waiting. They stay so only while a promotion may
// still be carried out, which needs the positions of the survey to be final.
void PrimaryMonitor::resumeUnlessInDoubt(Instant now, const MonitorContext &context)
{
    if (now >= inDoubtUntil_.value_or(Instant {})) {
        resumeReplicas(now, context);
    }
}

void PrimaryMonitor::resumeReplicas(Instant now, const MonitorContext &context)
{
    resumedAt_ = now;
    resumes_.clear();
    std::erase_if(paused_, [&](const BackendId &id) { return context.state.find(id) == nullptr; });
    for (const BackendId &id : paused_) {
        const std::uint64_t probeId = context.nextId();
        resumes_[probeId] = id;
        context.emit(ProbeBackend { probeId, *context.state.find(id), ProbeKind::Resume, 0, timing_.surveyTimeout });
    }
}

// A primary that steps down can't take the role back by itself, so that it keeps the role until a survey can succeed.
void PrimaryMonitor::checkReplicas(Instant now, const MonitorContext &context)
{
    enterStage(now, Stage::CheckingReplicas);
    askReplicas(now, context, ProbeKind::Status);
}

void PrimaryMonitor::finishCheck(Instant now, const MonitorContext &context)
{
    if (!probes_.empty() && now - enteredAt_ < 2 * timing_.surveyTimeout) {
        return;
    }
    if (!haveAllResponded()) {
        logWithoutCandidate(now, context);
        retryAfter(now, timing_.promotionRetryDelay, context);
        return;
    }
    withdraw(now, context);
}

void PrimaryMonitor::startSurvey(Instant now, const MonitorContext &context)
{
    enterStage(now, Stage::Surveying);
    pauseTerm_ = std::max(highestTerm_, highestOwnTerm_) + 1;
    resumes_.clear();
    latePauses_.clear();
    askReplicas(now, context, mustPauseReplication(context) ? ProbeKind::Pause : ProbeKind::Status);
}

void PrimaryMonitor::askReplicas(Instant now, const MonitorContext &context, ProbeKind kind)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    surveyed_.clear();
    surveyOutcomes_.clear();
    claimants_.clear();
    for (const auto &[id, backend] : context.state.backends()) {
        if (backend.service == service_ && backend.claimsPrimary) {
            claimants_.insert(id);
        }
    }
    for (const BackendRecord *backend : replicas(now, context, primary == nullptr ? BackendId {} : primary->backend)) {
        surveyed_[backend->id] = backend->startedAtMs;
        if (kind == ProbeKind::Pause) {
            paused_.insert(backend->id);
        }
        probe(context, *backend, kind, timing_.surveyTimeout);
    }
}

bool PrimaryMonitor::haveAllResponded() const
{
    return std::all_of(surveyed_.begin(), surveyed_.end(), [this](const auto &surveyed) {
        const auto found = surveyOutcomes_.find(surveyed.first);
        return found != surveyOutcomes_.end() && found->second.result == ProbeResult::Responded;
    });
}

std::vector<const BackendRecord *> PrimaryMonitor::lateServers(Instant now, const MonitorContext &context) const
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    std::vector<const BackendRecord *> late;
    for (const BackendRecord *backend : replicas(now, context, primary == nullptr ? BackendId {} : primary->backend)) {
        const auto surveyed = surveyed_.find(backend->id);
        if (surveyed == surveyed_.end() || surveyed->second != backend->startedAtMs) {
            late.push_back(backend);
        }
    }
    return late;
}

// A server that starts after the survey isn't paused, and forgets an earlier pause. Commits that it acknowledges before
// the promotion takes effect are lost, so it is paused as soon as it is known. That alone leaves the time until its
// first heartbeat; a primary that has stepped down closes it, unless the primary itself restarts meanwhile.
void PrimaryMonitor::pauseLateServers(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    if (!mustPauseReplication(context) || (primary != nullptr && primary->backend == candidate_)) {
        return;
    }
    const auto ask = [&](const BackendRecord &backend, ProbeKind kind) {
        const std::uint64_t probeId = context.nextId();
        context.emit(ProbeBackend { probeId, backend, kind, pauseTerm_, timing_.surveyTimeout });
        return probeId;
    };
    for (const BackendRecord *backend : lateServers(now, context)) {
        surveyed_[backend->id] = backend->startedAtMs;
        paused_.insert(backend->id);
        latePauses_[ask(*backend, ProbeKind::Pause)] = backend->id;
    }
    const BackendRecord *former = primary == nullptr ? nullptr : context.state.find(primary->backend);
    if (former != nullptr && now - lateStepDownAt_ >= timing_.probeInterval) {
        lateStepDownAt_ = now;
        lateStepDown_ = ask(*former, ProbeKind::StepDown);
    }
}

bool PrimaryMonitor::onLateProbe(Instant now, const ProbeOutcome &outcome, const MonitorContext &context)
{
    const auto found = latePauses_.find(outcome.probeId);
    if (found == latePauses_.end()) {
        return outcome.probeId == lateStepDown_;
    }
    const BackendId backend = std::move(found->second);
    latePauses_.erase(found);
    if (outcome.result != ProbeResult::Responded) {
        surveyed_.erase(backend); // Asks again.
        return true;
    }
    const auto candidate = surveyOutcomes_.find(candidate_);
    const bool isAhead = candidate != surveyOutcomes_.end() && outcome.ownTerm < pauseTerm_
        && outcome.received > candidate->second.received;
    context.metrics.add("servers_paused_late_total");
    context.log.log(now, isAhead ? "failover.overtaken" : "failover.late-server",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(backend.value) },
            { "position", outcome.received.position }, { "candidate", std::string_view(candidate_.value) },
            { "stepped_down", hasSteppedDown_ } });
    return true;
}

// A promotion that takes effect ends all pauses, so that the positions of an earlier survey are final no more.
bool PrimaryMonitor::isSurveyOutdated(Instant now, const MonitorContext &context) const
{
    // The record of a former primary that has ended may still claim the role.
    const auto hasTakenRoleSince = [this](const auto &entry) {
        const auto &[id, backend] = entry;
        return backend.service == service_ && backend.claimsPrimary && !claimants_.contains(id);
    };
    return highestOwnTerm_ >= pauseTerm_ || !lateServers(now, context).empty()
        || std::any_of(context.state.backends().begin(), context.state.backends().end(), hasTakenRoleSince);
}

void PrimaryMonitor::logWithoutCandidate(Instant now, const MonitorContext &context) const
{
    context.log.log(now, "failover.no-candidate",
        { { "service", std::string_view(service_.value) }, { "answered", std::uint64_t { surveyOutcomes_.size() } },
            { "asked", std::uint64_t { surveyed_.size() } } });
}

// Commits that only the former primary and a server without a heartbeat have received may have been acknowledged.
bool PrimaryMonitor::awaitsUnknownServer(Instant now, const LogPoint &best, const MonitorContext &context)
{
    if (!mustPauseReplication(context) || !hasSteppedDown_ || best >= finalPoint_) {
        return false;
    }
    if (!awaitsServerSince_) {
        awaitsServerSince_ = now;
        context.log.log(now, "failover.awaits-server",
            { { "service", std::string_view(service_.value) }, { "position", best.position },
                { "primary_position", finalPoint_.position } });
    }
    return now - *awaitsServerSince_ < timing_.maxFirstHeartbeatDelay;
}

// Servers ignore a pause of a term that they know already, and a new leader has not seen any term yet.
bool PrimaryMonitor::isPauseEffective() const
{
    return std::all_of(surveyOutcomes_.begin(), surveyOutcomes_.end(),
        [this](const auto &entry) { return entry.second.ownTerm < pauseTerm_; });
}

// A call of a former leader may have made a server the primary that is not recorded yet. It has commits that only the
// recorded primary, which is not asked, may hold besides.
bool PrimaryMonitor::adoptClaimant(Instant now, const MonitorContext &context)
{
    if (context.leases.policy() != FencingPolicy::Platform) {
        return false;
    }
    const auto newest
        = std::max_element(surveyOutcomes_.begin(), surveyOutcomes_.end(), [](const auto &one, const auto &other) {
              return std::pair(one.second.ownTerm, one.second.claimsPrimary)
                  < std::pair(other.second.ownTerm, other.second.claimsPrimary);
          });
    if (newest == surveyOutcomes_.end() || !newest->second.claimsPrimary) {
        return false;
    }
    if (const PrimaryRecord *pending = context.state.pendingPromotionOf(service_);
        pending != nullptr && pending->backend == newest->first) {
        // The platform rejects the calls before this one.
        inDoubtUntil_ = Instant {};
    } else if (pending != nullptr && now < inDoubtUntil_.value_or(Instant {})) {
        // The platform may still carry out that call. It rejects it once it has seen a higher token.
        candidate_ = newest->first;
        proposePromotion(now, context);
        return true;
    }
    proposePrimary(now, context, newest->first, "it says so");
    deposedSince_.reset();
    refusedSince_.reset();
    unreachableSince_.reset();
    confirmedAt_ = now;
    reportsCountFrom_ = now;
    retryAfter(now, timing_.promotionRetryDelay, context);
    return true;
}

// The position right after a promotion tells which commits of earlier terms the promotion has rolled back.
void PrimaryMonitor::measureLead(Instant now, const MonitorContext &context, const BackendId &primary)
{
    if (const BackendRecord *backend = context.state.find(primary); backend != nullptr) {
        leader_ = {};
        leadAskedAt_ = now;
        measured_ = primary;
        leadProbe_ = context.nextId();
        context.emit(ProbeBackend { leadProbe_, *backend, ProbeKind::Status, 0, timing_.probeTimeout });
    }
}

bool PrimaryMonitor::isMeasuringLead(Instant now) const
{
    return leadProbe_ != 0 && now - leadAskedAt_ < timing_.probeTimeout;
}

void PrimaryMonitor::onLeadMeasured(const ProbeOutcome &outcome)
{
    leadProbe_ = 0;
    if (outcome.result == ProbeResult::Responded && outcome.claimsPrimary) {
        leader_ = measured_;
        // Until it commits, the end of its log belongs to an earlier term.
        leadPoint_ = { outcome.ownTerm, outcome.received.position };
    }
}

// A former primary that has not joined the term of its successor still has the commits that it took after the position
// at which the successor was promoted.
bool PrimaryMonitor::hasDiverged(const LogPoint &received, const MonitorContext &context) const
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    return primary != nullptr && primary->backend == leader_ && received.term < leadPoint_.term
        && received.position > leadPoint_.position;
}

// If a log that has diverged led, commits would be in force that callers of the term between have not seen.
bool PrimaryMonitor::awaitsPrimary(Instant now, const BackendRecord &best, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    // A primary that has stepped down, or follows another server, does not lead again by itself.
    const bool mayReturn = primary != nullptr && context.state.find(primary->backend) != nullptr && !hasSteppedDown_
        && lastProbeResult_ != ProbeResult::IsReplica;
    if (!mayReturn || !hasDiverged(surveyOutcomes_.at(best.id).received, context)) {
        awaitsPrimarySince_.reset();
        return false;
    }
    if (!awaitsPrimarySince_) {
        awaitsPrimarySince_ = now;
        context.metrics.add("failovers_without_lineage_total");
        context.log.log(now, "failover.awaits-primary",
            { { "service", std::string_view(service_.value) }, { "primary", std::string_view(primary->backend.value) },
                { "diverged", std::string_view(best.id.value) },
                { "position", surveyOutcomes_.at(best.id).received.position },
                { "lead_position", leadPoint_.position } });
    }
    return now - *awaitsPrimarySince_ < timing_.backendExpiry;
}

void PrimaryMonitor::finishSurvey(Instant now, const MonitorContext &context)
{
    if (!probes_.empty() && now - enteredAt_ < 2 * timing_.surveyTimeout) {
        return;
    }
    if (mustPauseReplication(context) && (!isPauseEffective() || isSurveyOutdated(now, context))) {
        startSurvey(now, context);
        return;
    }
    if (mustPauseReplication(context) && adoptClaimant(now, context)) {
        return;
    }
    const BackendRecord *best = nullptr;
    const bool mayHoldSoleCopy = mustPauseReplication(context);
    const PrimaryRecord *pending = mayHoldSoleCopy ? context.state.pendingPromotionOf(service_) : nullptr;
    const auto rank = [&](const BackendRecord &backend) {
        const LogPoint received = surveyOutcomes_.at(backend.id).received;
        const bool stays = !backend.isDraining;
        // A call of a former leader may be carried out between the survey and the effect of another promotion.
        const bool isPending = pending != nullptr && pending->backend == backend.id;
        const bool canTakeRole = !mayHoldSoleCopy || backend.id != ineffective_;
        return std::tuple(mayHoldSoleCopy ? received : LogPoint {}, !hasDiverged(received, context), canTakeRole,
            isPending, stays, received);
    };
    for (const auto &[id, outcome] : surveyOutcomes_) {
        const BackendRecord *backend = context.state.find(id);
        if (backend == nullptr || outcome.result != ProbeResult::Responded) {
            continue;
        }
        // Ranks draining servers last, because they would have to be replaced again. Where writes wait for a replica,
        // a draining one may be the only one that holds the latest of them.
        best = best == nullptr || rank(*backend) > rank(*best) ? backend : best;
    }
    if (const std::optional<BackendId> inDoubt = candidateInDoubt(now, context); inDoubt) {
        // Any other server could lose the role to this one at any time.
        best = context.state.find(*inDoubt);
    }
    if (best == nullptr || (mustPauseReplication(context) && !haveAllResponded())) {
        logWithoutCandidate(now, context);
        resumeUnlessInDoubt(now, context);
        retryAfter(now, timing_.promotionRetryDelay, context);
        return;
    }
    if (!candidateInDoubt(now, context) && awaitsPrimary(now, *best, context)) {
        resumeUnlessInDoubt(now, context);
        retryAfter(now, timing_.promotionRetryDelay, context);
        return;
    }
    if (!candidateInDoubt(now, context) && awaitsUnknownServer(now, surveyOutcomes_.at(best->id).received, context)) {
        return;
    }
    candidate_ = best->id;
    proposePromotion(now, context);
}

} // namespace daisyrelay
