#include "daisyrelay/supervision/primarymonitor.h"

#include <algorithm>
#include <array>

namespace daisyrelay {

PrimaryMonitor::PrimaryMonitor(Instant now, ServiceId service, SupervisionTiming timing)
    : service_(std::move(service))
    , timing_(timing)
    , enteredAt_(now)
    , createdAt_(now)
    , confirmedAt_(now)
    , reportsCountFrom_(now)
{
}

bool PrimaryMonitor::isFailingOver() const
{
    return stage_ != Stage::Monitoring && stage_ != Stage::FindingPrimary && stage_ != Stage::CheckingReplicas;
}

Duration PrimaryMonitor::expectedRemaining(
    Instant now, const LeaseLedger &leases, const FailoverForecast &forecast) const
{
    // Entries that can be reached release a primary within two report intervals; the leases of the others must expire.
    constexpr Duration UsualReleaseTime = std::chrono::milliseconds(300);
    constexpr Duration UsualSurveyTime = std::chrono::milliseconds(50);
    const Duration elapsed = now - enteredAt_;
    switch (stage_) {
    case Stage::Withdrawing: {
        const Instant lastExpiry = leases.policy() == FencingPolicy::Platform ? enteredAt_ + timing_.stepDownTimeout
                                                                              : leases.expiresAt(now, service_);
        const Duration release = elapsed < UsualReleaseTime ? UsualReleaseTime - elapsed : lastExpiry - now;
        return release + UsualSurveyTime + forecast.promotionTime();
    }
    case Stage::AwaitingRole:
        return std::max<Duration>(forecast.promotionTime() - elapsed, UsualSurveyTime);
    default:
        return UsualSurveyTime + forecast.promotionTime();
    }
}

void PrimaryMonitor::tick(Instant now, const MonitorContext &context)
{
    if (!inDoubtUntil_) {
        if (mustPauseReplication(context)) {
            // A former leader may have paused any of them.
            for (const BackendRecord *backend : replicas(now, context, {})) {
                paused_.insert(backend->id);
            }
        }
        // A former leader may have made the call up to the moment at which this one was elected.
        const bool isPending = context.state.pendingPromotionOf(service_) != nullptr;
        inDoubtUntil_ = isPending ? createdAt_ + timing_.maxPromotionDelay : Instant {};
    }
    switch (stage_) {
    case Stage::FindingPrimary:
        findPrimary(now, context);
        break;
    case Stage::Monitoring:
        monitor(now, context);
        break;
    case Stage::CheckingReplicas:
        finishCheck(now, context);
        break;
    case Stage::Withdrawing:
        awaitRelease(now, context);
        break;
    case Stage::Surveying:
        finishSurvey(now, context);
        break;
    case Stage::Proposing:
        if (now - enteredAt_ > timing_.commitTimeout) {
            retryAfter(now, Duration::zero(), context);
        }
        break;
    case Stage::Promoting:
        pauseLateServers(now, context);
        break;
    case Stage::AwaitingRole:
        pauseLateServers(now, context);
        awaitPrimaryRole(now, context);
        break;
    }
}

bool PrimaryMonitor::isDue(Instant now) const
{
    return stage_ != Stage::Monitoring || now >= nextTickAt_;
}

void PrimaryMonitor::enterStage(Instant now, Stage stage)
{
    stage_ = stage;
    enteredAt_ = now;
    probes_.clear();
}

void PrimaryMonitor::retryAfter(Instant now, Duration delay, const MonitorContext &context)
{
    retryAt_ = now + delay;
    if (!candidateInDoubt(now, context) && !mustSupersede(now, context)) {
        context.leases.restore(service_);
    }
    // A confirmation of the primary during the delay cancels an unnecessary replacement.
    enterStage(now, Stage::Monitoring);
}

void PrimaryMonitor::probe(
    const MonitorContext &context, const BackendRecord &backend, ProbeKind kind, Duration timeout)
{
    const std::uint64_t id = context.nextId();
    probes_[id] = backend.id;
    context.emit(ProbeBackend { id, backend, kind, highestTerm_ + 1, timeout });
}

void PrimaryMonitor::proposePrimary(
    Instant now, const MonitorContext &context, const BackendId &backend, std::string_view reason)
{
    if (now - recordedAt_ < timing_.commitTimeout) {
        return;
    }
    recordedAt_ = now;
    context.log.log(now, "primary.found",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(backend.value) },
            { "reason", reason } });
    context.emit(ProposeSupervision { RecordPrimary { service_, backend, now < inDoubtUntil_.value_or(Instant {}) } });
}

void PrimaryMonitor::findPrimary(Instant now, const MonitorContext &context)
{
    if (context.state.primaryOf(service_) != nullptr) {
        confirmedAt_ = now;
        reportsCountFrom_ = now;
        enterStage(now, Stage::Monitoring);
        return;
    }
    std::vector<const BackendRecord *> claimants;
    for (const auto &[id, backend] : context.state.backends()) {
        if (backend.service == service_ && backend.claimsPrimary) {
            claimants.push_back(&backend);
        }
    }
    if (claimants.size() == 1) {
        proposePrimary(now, context, claimants.front()->id, "it says so");
    } else if (now - createdAt_ > timing_.adoptionTimeout) {
        startFailover(now, context, claimants.empty() ? "none-claims" : "several-claim");
    }
}

std::string_view PrimaryMonitor::failureReason(Instant now, const MonitorContext &context, const PrimaryRecord &primary)
{
    const BackendRecord *backend = context.state.find(primary.backend);
    if (backend == nullptr) {
        return "left";
    }
    if (context.entries.isConfirmedPrimary(reportsCountFrom_, service_, primary.backend)) {
        confirmedAt_ = now;
        reportsCountFrom_ = now;
        refusedSince_.reset();
    }
    const bool isUnreachable = context.entries.isUnreachableFromMost(now, service_, primary.backend);
    unreachableSince_ = isUnreachable ? unreachableSince_.value_or(now) : std::optional<Instant>();
    if (backend->isDraining) {
        return "draining";
    }
    if (deposedSince_ && now - *deposedSince_ > timing_.deposedTimeout) {
        return "deposed";
    }
    if (refusedSince_ && now - *refusedSince_ > timing_.refusedTimeout) {
        return "refused";
    }
    if (now - confirmedAt_ > context.probeInterval + timing_.maxPrimarySilence) {
        return "silent";
    }
    return unreachableSince_ && now - *unreachableSince_ > timing_.unreachableTimeout ? "cut-from-entries" : "";
}

void PrimaryMonitor::monitor(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    if (primary == nullptr) {
        enterStage(now, Stage::FindingPrimary);
        return;
    }
    const std::optional<BackendId> inDoubt = candidateInDoubt(now, context);
    if (inDoubt && *inDoubt != primary->backend) {
        if (now >= retryAt_) {
            startFailover(now, context, "in-doubt");
        }
        return;
    }
    if (!mustSupersede(now, context)) {
        context.leases.restore(service_); // The server in doubt may have left.
        settlePromotion(now, context, *primary);
    } else if (now >= retryAt_) {
        startFailover(now, context, "in-doubt");
        return;
    }
    const BackendRecord *backend = context.state.find(primary->backend);
    // Without a response to the last probe, or if an entry cannot reach it either, the primary is probed more often.
    const bool isSuspect = lastProbeResult_ != ProbeResult::IsPrimary
        || context.entries.isReportedUnreachable(service_, primary->backend);
    const Duration interval = isSuspect ? timing_.probeInterval : context.probeInterval;
    if (backend != nullptr && probes_.empty() && !isMeasuringLead(now) && now - probedAt_ >= interval) {
        probedAt_ = now;
        probe(context, *backend, ProbeKind::Role, timing_.probeTimeout);
    } else if (leader_ != primary->backend && probes_.empty() && now - leadAskedAt_ >= timing_.probeTimeout) {
        measureLead(now, context, primary->backend);
    }
    const std::string_view failure = failureReason(now, context, *primary);
    if (failure.empty() && !isSuspect) {
        // Draining servers and reports of entries must be noticed between two probes, too.
        nextTickAt_ = now + std::min(timing_.maxMonitorPause, context.probeInterval / 8);
    }
    if (failure.empty()) {
        awaitsPrimarySince_.reset();
    }
    if (failure.empty() && !paused_.empty() && now - resumedAt_ >= timing_.probeTimeout) {
        resumeUnlessInDoubt(now, context);
    }
    if (failure.empty() || now < retryAt_) {
        return;
    }
    if (inDoubt) {
        // The promotion in doubt would depose any other server.
        context.log.log(now, "failover.delayed",
            { { "service", std::string_view(service_.value) }, { "primary", std::string_view(primary->backend.value) },
                { "reason", failure }, { "for_ms", inDoubtUntil_.value_or(now) - now } });
        return;
    }
    // A promotion with an unknown outcome may have succeeded. The new primary is then found by the role that it claims.
    const PrimaryRecord *pending = context.state.pendingPromotionOf(service_);
    const bool mustFence = mustPauseReplication(context) && pending != nullptr && now < inDoubtUntil_.value_or(now);
    if (failure == "deposed" && !mustFence) {
        for (const auto &[id, other] : context.state.backends()) {
            if (other.service == service_ && other.claimsPrimary && id != primary->backend) {
                proposePrimary(now, context, id, "it says so");
                deposedSince_.reset();
                confirmedAt_ = now;
                return;
            }
        }
    }
    startFailover(now, context, failure);
}

// Without this, the next leader would take a promotion that can't be carried out any more for one in doubt.
void PrimaryMonitor::settlePromotion(Instant now, const MonitorContext &context, const PrimaryRecord &primary)
{
    const bool isSettled = context.leases.policy() == FencingPolicy::Leases
        ? !candidateInDoubt(now, context)
        : mustPauseReplication(context) && now >= inDoubtUntil_.value_or(now);
    if (isSettled && context.state.pendingPromotionOf(service_) != nullptr) {
        proposePrimary(now, context, primary.backend, "settled");
    }
}

void PrimaryMonitor::startFailover(Instant now, const MonitorContext &context, std::string_view reason)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const std::vector<const BackendRecord *> candidates
        = replicas(now, context, primary == nullptr ? BackendId {} : primary->backend);
    const bool isPlanned = reason == "draining";
    const bool hasStayingCandidate = std::any_of(
        candidates.begin(), candidates.end(), [](const BackendRecord *backend) { return !backend->isDraining; });
    // A survey that a silent server does not answer would only pause the replicas of a primary that still serves.
    const bool mustAwaitSilent = isPlanned
        && std::any_of(candidates.begin(), candidates.end(),
            [&](const BackendRecord *backend) { return !isAlive(now, context, backend->id); });
    const bool canReplace = !candidates.empty() && (!isPlanned || (hasStayingCandidate && !mustAwaitSilent));
    if (!candidateInDoubt(now, context) && !canReplace) {
        retryAt_ = now + timing_.promotionRetryDelay;
        return;
    }
    context.log.log(now, "failover.begin",
        { { "service", std::string_view(service_.value) },
            { "primary", std::string_view(primary == nullptr ? "" : primary->backend.value) }, { "reason", reason },
            { "proof_age_ms", now - confirmedAt_ }, { "candidates", std::uint64_t { candidates.size() } } });
    hasSteppedDown_ = false;
    isPrimaryRefusing_ = false;
    awaitsServerSince_.reset();
    if (context.leases.policy() == FencingPolicy::Platform) {
        if (mustPauseReplication(context)) {
            checkReplicas(now, context);
        } else {
            startSurvey(now, context);
        }
        return;
    }
    withdraw(now, context);
}

void PrimaryMonitor::logProbeResult(
    Instant now, const BackendId &backend, ProbeResult result, const MonitorContext &context)
{
    if (lastProbeResult_ == result) {
        return;
    }
    static constexpr std::array<std::string_view, 5> Names { "leads", "follows", "answered", "refused", "silent" };
    context.log.log(now, "primary.probed",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(backend.value) },
            { "result", Names.at(static_cast<std::size_t>(result)) },
            { "before", lastProbeResult_ ? Names.at(static_cast<std::size_t>(*lastProbeResult_)) : "" },
            { "proof_age_ms", now - confirmedAt_ } });
    lastProbeResult_ = result;
}

bool PrimaryMonitor::onProbe(Instant now, const ProbeOutcome &outcome, const MonitorContext &context)
{
    if (const auto resumed = resumes_.find(outcome.probeId); resumed != resumes_.end()) {
        if (outcome.result == ProbeResult::Responded) {
            paused_.erase(resumed->second);
        }
        resumes_.erase(resumed);
        return true;
    }
    highestOwnTerm_ = std::max(highestOwnTerm_, outcome.ownTerm);
    if (outcome.probeId == leadProbe_) {
        onLeadMeasured(outcome);
        return true;
    }
    if (onLateProbe(now, outcome, context)) {
        return true;
    }
    const auto found = probes_.find(outcome.probeId);
    if (found == probes_.end()) {
        return false;
    }
    const BackendId backend = found->second;
    probes_.erase(found);
    highestTerm_ = std::max({ highestTerm_, outcome.term, outcome.ownTerm });
    if (stage_ == Stage::Withdrawing) {
        hasSteppedDown_ = outcome.result == ProbeResult::Responded && !outcome.claimsPrimary;
        isPrimaryRefusing_ = outcome.result == ProbeResult::Refused;
        finalPoint_ = outcome.received;
        awaitRelease(now, context);
        return true;
    }
    if (stage_ == Stage::Surveying || stage_ == Stage::CheckingReplicas) {
        surveyOutcomes_[backend] = outcome;
        if (probes_.empty() && stage_ == Stage::Surveying) {
            finishSurvey(now, context);
        } else if (probes_.empty()) {
            finishCheck(now, context);
        }
        return true;
    }
    if (stage_ == Stage::AwaitingRole && backend == candidate_ && hasTakenRole(now, outcome)) {
        if (measured_ != backend || leadProbe_ == 0) {
            measureLead(now, context, backend); // Entries write to it only once it is recorded.
        }
        proposePrimary(now, context, backend, "promoted");
        return true;
    }
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    if (stage_ != Stage::Monitoring || primary == nullptr || primary->backend != backend) {
        // Another server may have been recorded as the primary since the probe was sent.
        return true;
    }
    logProbeResult(now, backend, outcome.result, context);
    const auto trackSince = [now](std::optional<Instant> &start, bool isActive) {
        start = isActive ? start.value_or(now) : std::optional<Instant>();
    };
    if (outcome.result != ProbeResult::NoResponse) {
        trackSince(deposedSince_, outcome.result == ProbeResult::IsReplica);
        trackSince(refusedSince_, outcome.result == ProbeResult::Refused);
    }
    if (outcome.result == ProbeResult::IsPrimary) {
        confirmedAt_ = now;
    }
    return true;
}

} // namespace daisyrelay
