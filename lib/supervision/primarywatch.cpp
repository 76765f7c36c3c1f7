#include "daisyrelay/supervision/primarywatch.h"

#include <algorithm>
#include <array>

namespace daisyrelay {

PrimaryWatch::PrimaryWatch(Instant now, ServiceId service, SupervisionTiming timing)
    : service_(std::move(service)), timing_(timing), enteredAt_(now), createdAt_(now), provenAt_(now), proofBy_(now)
{
}

bool PrimaryWatch::isReplacing() const
{
    return stage_ != Stage::Watching && stage_ != Stage::Adopting;
}

void PrimaryWatch::tick(Instant now, const WatchContext &context)
{
    switch (stage_) {
    case Stage::Adopting:
        adopt(now, context);
        break;
    case Stage::Watching:
        watch(now, context);
        break;
    case Stage::Surveying:
        finishSurvey(now, context);
        break;
    case Stage::Deciding:
        if (now - enteredAt_ > timing_.changeWait) {
            retry(now, Duration::zero());
        }
        break;
    case Stage::Promoting:
        break;
    case Stage::Settling:
        settle(now, context);
        break;
    }
}

void PrimaryWatch::enter(Instant now, Stage stage)
{
    stage_ = stage;
    enteredAt_ = now;
    probes_.clear();
}

void PrimaryWatch::retry(Instant now, Duration delay)
{
    retryAt_ = now + delay;
    // Proof of life still ends a replacement that was not needed.
    enter(now, Stage::Watching);
}

void PrimaryWatch::probe(const WatchContext &context, const BackendRecord &backend, ProbeKind kind, Duration timeout)
{
    const std::uint64_t id = context.nextId();
    probes_[id] = backend.id;
    context.act(ProbeBackend { id, backend, kind, highestTerm_ + 1, timeout });
}

void PrimaryWatch::record(Instant now, const WatchContext &context, const BackendId &backend, std::string_view reason)
{
    if (now - recordedAt_ < timing_.changeWait) {
        return;
    }
    recordedAt_ = now;
    context.log.log(now, "primary.found",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(backend.value) },
            { "reason", reason } });
    context.act(ProposeSupervision { RecordPrimary { service_, backend } });
}

void PrimaryWatch::adopt(Instant now, const WatchContext &context)
{
    if (context.state.primaryOf(service_) != nullptr) {
        provenAt_ = now;
        proofBy_ = now;
        enter(now, Stage::Watching);
        return;
    }
    std::vector<const BackendRecord *> claims;
    for (const auto &[id, backend] : context.state.backends()) {
        if (backend.service == service_ && backend.claimsPrimary) {
            claims.push_back(&backend);
        }
    }
    if (claims.size() == 1) {
        record(now, context, claims.front()->id, "it says so");
    } else if (now - createdAt_ > timing_.adoption) {
        survey(now, context, claims.empty() ? "none-claims" : "several-claim");
    }
}

std::string_view PrimaryWatch::failureOf(Instant now, const WatchContext &context, const PrimaryRecord &primary)
{
    const BackendRecord *backend = context.state.find(primary.backend);
    if (backend == nullptr) {
        return "left";
    }
    if (context.entries.anyAnswered(proofBy_, service_, primary.backend)) {
        provenAt_ = now;
        proofBy_ = now;
        refusedSince_.reset();
    }
    const bool cut = context.entries.mostAreCutFrom(now, service_, primary.backend);
    cutSince_ = cut ? cutSince_.value_or(now) : std::optional<Instant>();
    if (backend->draining) {
        return "draining";
    }
    if (deposedSince_ && now - *deposedSince_ > timing_.deposed) {
        return "deposed";
    }
    if (refusedSince_ && now - *refusedSince_ > timing_.refusal) {
        return "refused";
    }
    if (now - provenAt_ > timing_.silence) {
        return "silent";
    }
    return cutSince_ && now - *cutSince_ > timing_.partlyCut ? "cut-from-entries" : "";
}

void PrimaryWatch::watch(Instant now, const WatchContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    if (primary == nullptr) {
        enter(now, Stage::Adopting);
        return;
    }
    const BackendRecord *backend = context.state.find(primary->backend);
    if (backend != nullptr && probes_.empty() && now - askedAt_ >= timing_.probeInterval) {
        askedAt_ = now;
        probe(context, *backend, ProbeKind::Leadership, timing_.probeTimeout);
    }
    const std::string_view failure = failureOf(now, context, *primary);
    if (failure.empty() || now < retryAt_) {
        return;
    }
    // A primary that was replaced by a promotion of unknown fate is found by what its successor says.
    if (failure == "deposed") {
        for (const auto &[id, other] : context.state.backends()) {
            if (other.service == service_ && other.claimsPrimary && id != primary->backend) {
                record(now, context, id, "it says so");
                deposedSince_.reset();
                provenAt_ = now;
                return;
            }
        }
    }
    survey(now, context, failure);
}

std::vector<const BackendRecord *> PrimaryWatch::replicas(
    Instant now, const WatchContext &context, const BackendId &primary) const
{
    std::vector<const BackendRecord *> found;
    for (const auto &[id, backend] : context.state.backends()) {
        const auto heard = context.heardAt.find(id);
        const bool alive = heard != context.heardAt.end() ? now - heard->second < timing_.backendSilence
                                                          : now - createdAt_ < timing_.backendSilence;
        if (backend.service == service_ && id != primary && alive) {
            found.push_back(&backend);
        }
    }
    return found;
}

// Where writes wait for a replica, one that is acknowledged during the survey must not be missed by it.
bool PrimaryWatch::mustPause(const WatchContext &context) const
{
    const ServiceLimits *limits = context.state.limitsOf(service_);
    return limits != nullptr && limits->syncReplicas > 0;
}

void PrimaryWatch::survey(Instant now, const WatchContext &context, std::string_view reason)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const std::vector<const BackendRecord *> candidates
        = replicas(now, context, primary == nullptr ? BackendId {} : primary->backend);
    const bool planned = reason == "draining";
    const bool anyStays = std::any_of(
        candidates.begin(), candidates.end(), [](const BackendRecord *backend) { return !backend->draining; });
    if (candidates.empty() || (planned && !anyStays)) {
        retryAt_ = now + timing_.promotionRetry;
        return;
    }
    context.log.log(now, "failover.begin",
        { { "service", std::string_view(service_.value) },
            { "primary", std::string_view(primary == nullptr ? "" : primary->backend.value) }, { "reason", reason },
            { "proof_age_ms", now - provenAt_ }, { "candidates", std::uint64_t { candidates.size() } } });
    enter(now, Stage::Surveying);
    asked_.clear();
    answers_.clear();
    for (const BackendRecord *backend : candidates) {
        asked_.insert(backend->id);
        probe(context, *backend, mustPause(context) ? ProbeKind::Pause : ProbeKind::Status, timing_.survey);
    }
}

void PrimaryWatch::finishSurvey(Instant now, const WatchContext &context)
{
    if (!probes_.empty() && now - enteredAt_ < 2 * timing_.survey) {
        return;
    }
    const BackendRecord *best = nullptr;
    const auto rank = [this](const BackendRecord &backend) {
        const ProbeOutcome &answer = answers_.at(backend.id);
        return std::pair(!backend.draining, answer.received);
    };
    for (const auto &[id, answer] : answers_) {
        const BackendRecord *backend = context.state.find(id);
        if (backend == nullptr || answer.result != ProbeResult::Answered) {
            continue;
        }
        // One that leaves too would have to be replaced again.
        best = best == nullptr || rank(*backend) > rank(*best) ? backend : best;
    }
    const bool allAnswered = std::all_of(asked_.begin(), asked_.end(), [this](const BackendId &id) {
        const auto found = answers_.find(id);
        return found != answers_.end() && found->second.result == ProbeResult::Answered;
    });
    if (best == nullptr || (mustPause(context) && !allAnswered)) {
        context.log.log(now, "failover.no-candidate",
            { { "service", std::string_view(service_.value) }, { "answered", std::uint64_t { answers_.size() } },
                { "asked", std::uint64_t { asked_.size() } } });
        retry(now, timing_.promotionRetry);
        return;
    }
    target_ = best->id;
    decide(now, context);
}

void PrimaryWatch::decide(Instant now, const WatchContext &context)
{
    enter(now, Stage::Deciding);
    ticket_ = context.nextId();
    context.act(ProposeSupervision { DecidePromotion { service_, target_, ticket_ } });
}

bool PrimaryWatch::onDecided(
    Instant now, const DecidePromotion &decision, std::uint64_t index, const WatchContext &context)
{
    if (stage_ != Stage::Deciding || decision.service != service_ || decision.ticket != ticket_) {
        return false;
    }
    token_ = index;
    enter(now, Stage::Promoting);
    const auto answer = answers_.find(target_);
    context.log.log(now, "failover.promote",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(target_.value) },
            { "token", token_ }, { "position", answer == answers_.end() ? 0 : answer->second.received.position },
            { "term", answer == answers_.end() ? 0 : answer->second.received.term } });
    context.act(PromoteThroughPlatform { service_, target_, token_, timing_.promotionCall });
    return true;
}

bool PrimaryWatch::onPromotion(Instant now, std::uint64_t token, PromotionOutcome outcome, const WatchContext &context)
{
    if (stage_ != Stage::Promoting || token != token_) {
        return false;
    }
    static constexpr std::array<std::string_view, 4> Names { "accepted", "rejected", "not-now", "unknown" };
    context.log.log(now, "failover.answer",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(target_.value) },
            { "token", token_ }, { "outcome", Names.at(static_cast<std::size_t>(outcome)) },
            { "took_ms", now - enteredAt_ } });
    switch (outcome) {
    case PromotionOutcome::Accepted:
        enter(now, Stage::Settling);
        break;
    case PromotionOutcome::Unknown:
        // It may be carried out at any time; a higher token ends that.
        decide(now, context);
        break;
    case PromotionOutcome::Rejected:
    case PromotionOutcome::NotNow:
        retry(now, timing_.promotionRetry);
        break;
    }
    return true;
}

void PrimaryWatch::settle(Instant now, const WatchContext &context)
{
    const PrimaryRecord *primary = context.state.primaryOf(service_);
    const BackendRecord *backend = context.state.find(target_);
    if (primary != nullptr && primary->backend == target_) {
        provenAt_ = now;
        proofBy_ = now;
        deposedSince_.reset();
        refusedSince_.reset();
        cutSince_.reset();
        retryAt_ = now + timing_.deposed;
        context.log.log(now, "failover.end",
            { { "service", std::string_view(service_.value) }, { "backend", std::string_view(target_.value) },
                { "took_ms", now - enteredAt_ } });
        for (const BackendId &paused : asked_) {
            if (const BackendRecord *other = context.state.find(paused); other != nullptr && mustPause(context)) {
                context.act(ProbeBackend { context.nextId(), *other, ProbeKind::Resume, 0, timing_.survey });
            }
        }
        enter(now, Stage::Watching);
        return;
    }
    if (backend == nullptr || now - enteredAt_ > timing_.settle) {
        retry(now, Duration::zero());
        return;
    }
    if (probes_.empty() && now - askedAt_ >= timing_.settleInterval) {
        askedAt_ = now;
        probe(context, *backend, ProbeKind::Leadership, timing_.probeTimeout);
    }
}

void PrimaryWatch::logEvidence(Instant now, const BackendId &backend, ProbeResult result, const WatchContext &context)
{
    if (probedBefore_ == result) {
        return;
    }
    static constexpr std::array<std::string_view, 5> Names { "leads", "follows", "answered", "refused", "silent" };
    context.log.log(now, "primary.probed",
        { { "service", std::string_view(service_.value) }, { "backend", std::string_view(backend.value) },
            { "result", Names.at(static_cast<std::size_t>(result)) },
            { "before", probedBefore_ ? Names.at(static_cast<std::size_t>(*probedBefore_)) : "" },
            { "proof_age_ms", now - provenAt_ } });
    probedBefore_ = result;
}

bool PrimaryWatch::onProbe(Instant now, const ProbeOutcome &outcome, const WatchContext &context)
{
    const auto found = probes_.find(outcome.probeId);
    if (found == probes_.end()) {
        return false;
    }
    const BackendId backend = found->second;
    probes_.erase(found);
    highestTerm_ = std::max(highestTerm_, outcome.term);
    if (stage_ == Stage::Surveying) {
        answers_[backend] = outcome;
        if (probes_.empty()) {
            finishSurvey(now, context);
        }
        return true;
    }
    if (stage_ == Stage::Settling && outcome.result == ProbeResult::Leads && backend == target_) {
        record(now, context, backend, "promoted");
        return true;
    }
    if (stage_ != Stage::Watching) {
        return true;
    }
    logEvidence(now, backend, outcome.result, context);
    const auto since
        = [now](std::optional<Instant> &at, bool holds) { at = holds ? at.value_or(now) : std::optional<Instant>(); };
    if (outcome.result != ProbeResult::Silent) {
        since(deposedSince_, outcome.result == ProbeResult::Follows);
        since(refusedSince_, outcome.result == ProbeResult::Refused);
    }
    if (outcome.result == ProbeResult::Leads) {
        provenAt_ = now;
    }
    return true;
}

} // namespace daisyrelay
