#include "daisyrelay/control/groupfailover.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration ProposalInterval = std::chrono::milliseconds(500);

GroupFailover::GroupFailover(ControlTiming timing, Term term, BackendId oldPrimary, bool isPlanned)
    : timing_(timing), term_(term), oldPrimary_(std::move(oldPrimary)), isPlanned_(isPlanned)
{
}

void GroupFailover::startSurvey(Instant now)
{
    stage_ = FailoverStage::Surveying;
    surveyStartedAt_ = now;
    roundStartedAt_ = now;
}

std::vector<BackendId> GroupFailover::nextQueries(Instant now, const GroupMembers &members)
{
    if (now >= roundStartedAt_ + timing_.surveyRoundInterval && pending_.empty()) {
        queried_.clear();
        roundStartedAt_ = now;
    }
    std::vector<BackendId> result;
    for (const std::vector<BackendId> &list : { members.members, members.previous }) {
        for (const BackendId &member : list) {
            if (queried_.insert(member).second) {
                pending_.insert(member);
                result.push_back(member);
            }
        }
    }
    return result;
}

void GroupFailover::onPosition(Instant /*now*/, const BackendId &backend, std::optional<LogPoint> point)
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

bool GroupFailover::haveAllResponded(const GroupMembers &members) const
{
    const auto hasResponded = [this](const BackendId &member) {
        // A primary that was replaced for its silence is not waited for.
        return !pending_.contains(member) || (member == oldPrimary_ && !isPlanned_);
    };
    return std::all_of(members.members.begin(), members.members.end(), hasResponded)
        && std::all_of(members.previous.begin(), members.previous.end(), hasResponded);
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

static std::set<BackendId> difference(std::set<BackendId> from, const std::set<BackendId> &excluded)
{
    for (const BackendId &backend : excluded) {
        from.erase(backend);
    }
    return from;
}

std::optional<BackendId> GroupFailover::chooseCandidate(
    Instant now, const GroupMembers &members, const std::set<BackendId> &leaving)
{
    const Duration limit = isPlanned_ ? timing_.handoverTimeout : timing_.surveyTimeout;
    const bool isTimedOut = now >= surveyStartedAt_ + limit;
    if (queried_.empty() || (!isTimedOut && !haveAllResponded(members))) {
        return std::nullopt;
    }
    std::set<BackendId> removed; // Databases on their way out of the group answer, but are not promoted.
    std::set<BackendId> responded;
    for (const auto &[id, point] : points_) {
        responded.insert(id);
        if (!members.contains(id)) {
            removed.insert(id);
        }
    }
    const std::optional<BackendId> mostAdvancedMember = mostAdvanced(removed);
    if (!mostAdvancedMember || !members.canPromote(responded)) {
        return std::nullopt;
    }
    std::set<BackendId> excluded = leaving;
    excluded.insert(oldPrimary_);
    excluded.insert(removed.begin(), removed.end());
    std::optional<BackendId> best = mostAdvanced(excluded);
    const bool hasCaughtUp = best && points_.at(*best) == points_.at(*mostAdvanced({}));
    if (!hasCaughtUp && !isTimedOut) {
        return std::nullopt; // A replica may still catch up with the old primary.
    }
    if (!hasCaughtUp && (isPlanned_ || !best || !members.canPromote(difference(responded, excluded)))) {
        // Only the excluded ones are known to hold every acknowledged write. One of them takes the new term, and a
        // planned handover follows if it is leaving.
        if (!members.canPromote(difference(responded, removed))) {
            return std::nullopt;
        }
        best = mostAdvancedMember;
    }
    stage_ = FailoverStage::Promoting;
    candidate_ = *best;
    return best;
}

void GroupFailover::onPromoted(const LogPoint &point)
{
    stage_ = FailoverStage::Recording;
    startPoint_ = point;
    proposedAt_ = {};
}

std::optional<GroupTerm> GroupFailover::takeTermProposal(Instant now, const GroupKey &group)
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
