#include "daisyrelay/control/groupfailover.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration ProposalInterval = std::chrono::milliseconds(500);

GroupFailover::GroupFailover(ControlTiming timing, Term term, BackendId oldPrimary, bool planned)
    : timing_(timing), term_(term), oldPrimary_(std::move(oldPrimary)), planned_(planned)
{
}

void GroupFailover::startSurvey(Instant now)
{
    stage_ = FailoverStage::Surveying;
    surveyStartedAt_ = now;
    roundStartedAt_ = now;
}

std::vector<BackendId> GroupFailover::questions(Instant now, const GroupMembers &members)
{
    if (now >= roundStartedAt_ + timing_.surveyRound && pending_.empty()) {
        asked_.clear();
        roundStartedAt_ = now;
    }
    std::vector<BackendId> result;
    for (const std::vector<BackendId> &list : { members.members, members.previous }) {
        for (const BackendId &member : list) {
            if (asked_.insert(member).second) {
                pending_.insert(member);
                result.push_back(member);
            }
        }
    }
    return result;
}

void GroupFailover::surveyed(Instant /*now*/, const BackendId &backend, std::optional<LogPoint> point)
{
    if (pending_.erase(backend) == 0) {
        return;
    }
    if (point) {
        points_[backend] = *point;
    } else {
        points_.erase(backend);
    }
}

bool GroupFailover::allAnswered(const GroupMembers &members) const
{
    const auto heard = [this](const BackendId &member) {
        // A primary that was replaced for its silence is not waited for.
        return !pending_.contains(member) || (member == oldPrimary_ && !planned_);
    };
    return std::all_of(members.members.begin(), members.members.end(), heard)
        && std::all_of(members.previous.begin(), members.previous.end(), heard);
}

std::optional<BackendId> GroupFailover::mostAdvanced(const std::set<BackendId> &excluded) const
{
    std::optional<BackendId> best;
    for (const auto &[id, point] : points_) {
        if (!excluded.contains(id) && (!best || point > points_.at(*best))) {
            best = id;
        }
    }
    return best;
}

static std::set<BackendId> without(std::set<BackendId> from, const std::set<BackendId> &excluded)
{
    for (const BackendId &backend : excluded) {
        from.erase(backend);
    }
    return from;
}

std::optional<BackendId> GroupFailover::choose(
    Instant now, const GroupMembers &members, const std::set<BackendId> &leaving)
{
    const Duration limit = planned_ ? timing_.handover : timing_.survey;
    const bool late = now >= surveyStartedAt_ + limit;
    if (asked_.empty() || (!late && !allAnswered(members))) {
        return std::nullopt;
    }
    std::set<BackendId> removed; // Databases on their way out of the group answer, but are not promoted.
    std::set<BackendId> answered;
    for (const auto &[id, point] : points_) {
        answered.insert(id);
        if (!members.contains(id)) {
            removed.insert(id);
        }
    }
    const std::optional<BackendId> first = mostAdvanced(removed);
    if (!first || !members.canPromote(answered)) {
        return std::nullopt;
    }
    std::set<BackendId> excluded = leaving;
    excluded.insert(oldPrimary_);
    excluded.insert(removed.begin(), removed.end());
    std::optional<BackendId> best = mostAdvanced(excluded);
    const bool reached = best && points_.at(*best) == points_.at(*mostAdvanced({}));
    if (!reached && !late) {
        return std::nullopt; // A replica may still catch up with the old primary.
    }
    if (!reached && (planned_ || !best || !members.canPromote(without(answered, excluded)))) {
        // Only the excluded ones are known to hold every acknowledged write. One of them takes the new term, and a
        // planned handover follows if it is leaving.
        if (!members.canPromote(without(answered, removed))) {
            return std::nullopt;
        }
        best = first;
    }
    stage_ = FailoverStage::Promoting;
    candidate_ = *best;
    return best;
}

void GroupFailover::promoted(const LogPoint &point)
{
    stage_ = FailoverStage::Recording;
    startPoint_ = point;
    proposedAt_ = {};
}

std::optional<GroupTerm> GroupFailover::takeProposal(Instant now, const GroupKey &group)
{
    if (proposedAt_ != Instant {} && now < proposedAt_ + ProposalInterval) {
        return std::nullopt;
    }
    proposedAt_ = now;
    if (stage_ == FailoverStage::Revoking) {
        return GroupTerm { group, term_, {}, 0, {}, {} };
    }
    return stage_ == FailoverStage::Recording
        ? std::optional(GroupTerm { group, term_, candidate_, startPoint_.position, {}, {} })
        : std::nullopt;
}

const BackendId &GroupFailover::oldPrimary() const
{
    return oldPrimary_;
}

FailoverStage GroupFailover::stage() const
{
    return stage_;
}

Term GroupFailover::term() const
{
    return term_;
}

const BackendId &GroupFailover::candidate() const
{
    return candidate_;
}

std::string_view failoverStageName(FailoverStage stage)
{
    switch (stage) {
    case FailoverStage::Revoking:
        return "revoking";
    case FailoverStage::Surveying:
        return "surveying";
    case FailoverStage::Promoting:
        return "promoting";
    case FailoverStage::Recording:
        break;
    }
    return "recording";
}

} // namespace daisyrelay
