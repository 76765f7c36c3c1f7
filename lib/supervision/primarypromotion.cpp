// The steps of a failover that must not overlap with the use of the former primary: release, promotion, confirmation.
#include "daisyrelay/supervision/primarymonitor.h"

#include <array>

namespace daisyrelay {

void PrimaryMonitor::withdraw(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const BackendRecord *former = primary == nullptr ? nullptr : context.state.find(primary->backend);
    context.leases.withdraw(now, service_, context.nextId(), former == nullptr ? ZoneId {} : former->zone,
        [&](const VmId &entry) { return primary == nullptr || context.entries.mayConnect(entry, primary->backend); });
    enterStage(now, Stage::Withdrawing);
    stepDown(now, context);
    awaitRelease(now, context);
}

// A primary that confirms its new role commits nothing any more, whatever entries still hold.
void PrimaryMonitor::stepDown(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const BackendRecord *backend = primary == nullptr ? nullptr : context.state.find(primary->backend);
    if (backend != nullptr && candidateInDoubt(now, context) != primary->backend) {
        probedAt_ = now;
        probe(context, *backend, ProbeKind::StepDown, timing_.surveyTimeout);
    }
}

bool PrimaryMonitor::isPrimaryLost(Instant now, const MonitorContext &context) const
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    return isPrimaryRefusing_ || now - enteredAt_ >= timing_.stepDownTimeout || primary == nullptr
        || context.state.find(primary->backend) == nullptr;
}

void PrimaryMonitor::awaitRelease(Instant now, const MonitorContext &context)
{
    const bool isReleased = context.leases.policy() == FencingPolicy::Platform
        ? isPrimaryLost(now, context)
        : context.leases.isReleased(now, service_);
    if (!isReleased && !hasSteppedDown_) {
        if (probes_.empty() && now - probedAt_ >= timing_.probeInterval) {
            stepDown(now, context);
        }
        return;
    }
    context.metrics.add(isReleased ? "withdrawals_total{by=\"release\"}" : "withdrawals_total{by=\"step-down\"}");
    context.log.log(now, "failover.released",
        { { "service", std::string_view(service_.value) }, { "took_ms", now - enteredAt_ },
            { "stepped_down", hasSteppedDown_ },
            { "outstanding", std::uint64_t { context.leases.outstanding(now, service_).size() } } });
    startSurvey(now, context);
}

std::optional<BackendId> PrimaryMonitor::candidateInDoubt(Instant now, const MonitorContext &context) const
{
    if (context.leases.policy() == FencingPolicy::Platform) {
        return std::nullopt;
    }
    const PrimaryRecord *pending = context.state.pendingPromotionOf(service_);
    if (pending == nullptr || context.state.find(pending->backend) == nullptr) {
        return std::nullopt;
    }
    return isCallInFlight_ || now < inDoubtUntil_.value_or(Instant {}) ? std::optional(pending->backend) : std::nullopt;
}

bool PrimaryMonitor::mustSupersede(Instant now, const MonitorContext &context) const
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const PrimaryRecord *pending = context.state.pendingPromotionOf(service_);
    return context.leases.policy() == FencingPolicy::Platform && mustPauseReplication(context) && pending != nullptr
        && (primary == nullptr || primary->backend != pending->backend)
        && context.state.find(pending->backend) != nullptr && now < inDoubtUntil_.value_or(now);
}

void PrimaryMonitor::proposePromotion(Instant now, const MonitorContext &context)
{
    enterStage(now, Stage::Proposing);
    proposalId_ = context.nextId();
    context.emit(ProposeSupervision { DecidePromotion { service_, candidate_, proposalId_ } });
}

bool PrimaryMonitor::onPromotionCommitted(
    Instant now, const DecidePromotion &decision, std::uint64_t index, const MonitorContext &context)
{
    if (stage_ != Stage::Proposing || decision.service != service_ || decision.proposalId != proposalId_) {
        return false;
    }
    if (mustPauseReplication(context) && isSurveyOutdated(now, context)) {
        startSurvey(now, context);
        return true;
    }
    token_ = index;
    enterStage(now, Stage::Promoting);
    const auto outcome = surveyOutcomes_.find(candidate_);
    context.log.log(now, "failover.promote",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(candidate_.value) },
            { "token", token_ },
            { "position", outcome == surveyOutcomes_.end() ? 0 : outcome->second.received.position },
            { "term", outcome == surveyOutcomes_.end() ? 0 : outcome->second.received.term } });
    isCallInFlight_ = true;
    context.emit(
        PromoteThroughPlatform { service_, candidate_, token_, timing_.promotionCallTimeout, context.leaderTerm });
    return true;
}

bool PrimaryMonitor::onPromotion(
    Instant now, std::uint64_t token, PromotionOutcome outcome, const MonitorContext &context)
{
    if (stage_ != Stage::Promoting || token != token_) {
        return false;
    }
    static constexpr std::array<std::string_view, 4> Names { "accepted", "rejected", "not-now", "unknown" };
    context.log.log(now, "failover.answer",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(candidate_.value) },
            { "token", token_ }, { "outcome", Names.at(static_cast<std::size_t>(outcome)) },
            { "took_ms", now - enteredAt_ } });
    switch (outcome) {
    case PromotionOutcome::Accepted:
        if (context.leases.policy() == FencingPolicy::Platform) {
            inDoubtUntil_ = Instant {}; // The platform rejects earlier calls from now on.
        }
        enterStage(now, Stage::AwaitingRole);
        break;
    case PromotionOutcome::Unknown:
        // The promotion may still be carried out; a higher token fences it off.
        isCallInFlight_ = false;
        inDoubtUntil_ = now + timing_.maxPromotionDelay;
        proposePromotion(now, context);
        break;
    case PromotionOutcome::Rejected:
    case PromotionOutcome::RateLimited:
        isCallInFlight_ = false;
        resumeUnlessInDoubt(now, context);
        retryAfter(now, timing_.promotionRetryDelay, context);
        break;
    }
    return true;
}

void PrimaryMonitor::awaitPrimaryRole(Instant now, const MonitorContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const BackendRecord *backend = context.state.find(candidate_);
    if (primary != nullptr && primary->backend == candidate_) {
        confirmedAt_ = now;
        reportsCountFrom_ = now;
        deposedSince_.reset();
        refusedSince_.reset();
        unreachableSince_.reset();
        retryAt_ = now + timing_.deposedTimeout;
        context.log.log(now, "failover.end",
            { { "service", std::string_view(service_.value) }, { "backend", std::string_view(candidate_.value) },
                { "took_ms", now - enteredAt_ } });
        isCallInFlight_ = false;
        context.forecast.recordPromotion(now - enteredAt_);
        context.leases.restore(service_);
        resumeReplicas(now, context);
        enterStage(now, Stage::Monitoring);
        return;
    }
    if (backend == nullptr || now - enteredAt_ > timing_.promotionEffectTimeout) {
        isCallInFlight_ = false;
        ineffective_ = candidate_;
        inDoubtUntil_ = now + timing_.maxPromotionDelay;
        retryAfter(now, Duration::zero(), context);
        return;
    }
    if (probes_.empty() && !isMeasuringLead(now) && now - probedAt_ >= timing_.promotedProbeInterval) {
        probedAt_ = now;
        const bool isFenced = context.leases.policy() == FencingPolicy::Platform;
        probe(context, *backend, isFenced ? ProbeKind::Role : ProbeKind::Status, timing_.probeTimeout);
    }
}

// Where nobody fences, the candidate may have been a primary before and still claim the role in its old term. A call
// for the server that the platform considers the primary changes no term, which only time tells.
bool PrimaryMonitor::hasTakenRole(Instant now, const ProbeOutcome &outcome) const
{
    if (outcome.result == ProbeResult::IsPrimary) {
        return true;
    }
    const auto surveyed = surveyOutcomes_.find(candidate_);
    const bool hasNewTerm = surveyed != surveyOutcomes_.end() && surveyed->second.result == ProbeResult::Responded
        && outcome.ownTerm > surveyed->second.ownTerm;
    return outcome.result == ProbeResult::Responded && outcome.claimsPrimary
        && (hasNewTerm || now - enteredAt_ > timing_.promotionEffectTimeout - timing_.promotionRetryDelay);
}

} // namespace daisyrelay
