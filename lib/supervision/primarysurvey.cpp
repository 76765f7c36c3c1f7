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

void PrimaryMonitor::startSurvey(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const std::vector<const BackendRecord *> candidates
        = replicas(now, context, primary == nullptr ? BackendId {} : primary->backend);
    enterStage(now, Stage::Surveying);
    pauseTerm_ = highestTerm_ + 1;
    resumes_.clear();
    surveyed_.clear();
    surveyOutcomes_.clear();
    for (const BackendRecord *backend : candidates) {
        surveyed_.insert(backend->id);
        if (mustPauseReplication(context)) {
            paused_.insert(backend->id);
        }
        probe(context, *backend, mustPauseReplication(context) ? ProbeKind::Pause : ProbeKind::Status,
            timing_.surveyTimeout);
    }
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

void PrimaryMonitor::finishSurvey(Instant now, const MonitorContext &context)
{
    if (!probes_.empty() && now - enteredAt_ < 2 * timing_.surveyTimeout) {
        return;
    }
    if (mustPauseReplication(context) && !isPauseEffective()) {
        startSurvey(now, context);
        return;
    }
    if (mustPauseReplication(context) && adoptClaimant(now, context)) {
        return;
    }
    const BackendRecord *best = nullptr;
    const bool mayHoldSoleCopy = mustPauseReplication(context);
    const auto rank = [this, mayHoldSoleCopy](const BackendRecord &backend) {
        const LogPoint received = surveyOutcomes_.at(backend.id).received;
        const bool stays = !backend.isDraining;
        return std::tuple(mayHoldSoleCopy ? received : LogPoint {}, stays, received);
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
    const bool haveAllResponded = std::all_of(surveyed_.begin(), surveyed_.end(), [this](const BackendId &id) {
        const auto found = surveyOutcomes_.find(id);
        return found != surveyOutcomes_.end() && found->second.result == ProbeResult::Responded;
    });
    if (best == nullptr || (mustPauseReplication(context) && !haveAllResponded)) {
        context.log.log(now, "failover.no-candidate",
            { { "service", std::string_view(service_.value) }, { "answered", std::uint64_t { surveyOutcomes_.size() } },
                { "asked", std::uint64_t { surveyed_.size() } } });
        resumeUnlessInDoubt(now, context);
        retryAfter(now, timing_.promotionRetryDelay, context);
        return;
    }
    candidate_ = best->id;
    proposePromotion(now, context);
}

} // namespace daisyrelay
