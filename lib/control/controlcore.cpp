#include "daisyrelay/control/controlcore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration FollowInterval = std::chrono::milliseconds(500);
static constexpr std::uint32_t FixedShare = 1;

ControlCore::ControlCore(VmId self, ControlTiming timing) : self_(std::move(self)), timing_(timing)
{
}

void ControlCore::onLeadership(Instant now, bool leading, Term leaderTerm)
{
    if (leading && (!leading_ || table_.leaderTerm != leaderTerm)) {
        leadingSince_ = now;
        table_ = {};
        table_.leaderTerm = leaderTerm;
        entries_.clear();
        failovers_.clear();
        leading_ = true;
        rebuildTable(now);
    }
    leading_ = leading;
}

void ControlCore::onCommitted(Instant now, const LogEntry &entry)
{
    if (entry.command.empty()) {
        return;
    }
    const Expected<ControlCommand> command = decodeControlCommand(entry.command);
    if (!command) {
        return;
    }
    if (const auto *change = std::get_if<ConfigChange>(&*command); change != nullptr) {
        const ConfigOutcome outcome = state_.apply(*change, entry.index);
        if (const auto waiting = waitingChanges_.find(change->changeId); waiting != waitingChanges_.end()) {
            const auto &[vm, requestId] = waiting->second;
            actions_.emplace_back(ControlSend {
                vm, ConfigChangeAnswer { requestId, outcome.accepted, outcome.error, "", outcome.version } });
            waitingChanges_.erase(waiting);
        }
        if (leading_) {
            pushTable(now);
        }
        return;
    }
    const bool changed = std::visit(
        [this](const auto &other) {
            if constexpr (std::is_same_v<std::decay_t<decltype(other)>, ConfigChange>) {
                return false;
            } else {
                return state_.apply(other);
            }
        },
        *command);
    if (changed && leading_) {
        rebuildTable(now);
    }
}

Expected<void> ControlCore::restoreSnapshot(Instant now, std::string_view bytes)
{
    Expected<ControlState> restored = ControlState::decodeSnapshot(bytes);
    if (!restored) {
        return tl::unexpected(restored.error());
    }
    state_ = std::move(*restored);
    if (leading_) {
        rebuildTable(now);
    }
    return {};
}

std::string ControlCore::encodeSnapshot() const
{
    return state_.encodeSnapshot();
}

void ControlCore::onLeaseRequest(Instant now, const LeaseRequest &request)
{
    if (!leading_) {
        return;
    }
    const bool isNew = !entries_.contains(request.entry);
    EntrySession &session = entries_[request.entry];
    session.zone = request.zone;
    session.configVersion = request.configVersion;
    session.leaseUntil = now + timing_.lease + timing_.drift;
    if (request.tableLeaderTerm == table_.leaderTerm) {
        session.confirmedVersion = std::max(session.confirmedVersion, request.tableVersion);
    }
    session.views.clear();
    for (const BackendView &view : request.views) {
        session.views[view.backend] = view;
    }
    if (isNew) {
        for (const HomeGrant &held : request.homes) {
            const bool known = std::any_of(table_.homes.begin(), table_.homes.end(),
                [&held](const HomeGrant &grant) { return grant.backend == held.backend; });
            if (!known) {
                table_.homes.push_back(held);
            }
        }
        rebuildTable(now);
    }
    grant(now, request.entry, request.nonce);
}

void ControlCore::onAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    KnownBackend &known = backends_[announcement.id];
    known.announcement = announcement;
    known.heardAt = now;
}

void ControlCore::onConfigChange(Instant /*now*/, const VmId &from, const ConfigChangeRequest &request)
{
    if (!leading_) {
        actions_.emplace_back(ControlSend { from,
            ConfigChangeAnswer { request.requestId, false, ErrorKind::NoQuorum, "this control VM does not lead", 0 } });
        return;
    }
    if (const Expected<Configuration> parsed = parseConfiguration(request.change.configJson); !parsed) {
        actions_.emplace_back(ControlSend { from,
            ConfigChangeAnswer {
                request.requestId, false, ErrorKind::InvalidConfig, parsed.error().detail, state_.configVersion() } });
        return;
    }
    waitingChanges_[request.change.changeId] = { from, request.requestId };
    actions_.emplace_back(ProposeCommand { request.change });
}

void ControlCore::onSurveyed(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    const auto known = backends_.find(backend);
    if (known == backends_.end()) {
        return;
    }
    const GroupKey &group = known->second.announcement.group;
    const auto failover = failovers_.find(group);
    if (failover == failovers_.end() || failover->second.stage != FailoverStage::Surveying) {
        return;
    }
    failover->second.surveyed[backend] = point;
    advanceFailover(now, group, failover->second);
}

void ControlCore::onPromoted(Instant now, const BackendId &backend, Term term, std::optional<LogPoint> point)
{
    for (auto &[group, failover] : failovers_) {
        if (failover.stage != FailoverStage::Promoting || failover.candidate != backend || failover.term != term) {
            continue;
        }
        if (!point) {
            failover.stage = FailoverStage::Surveying;
            failover.surveyed.clear();
            failover.asked.clear();
            failover.deadline = now + timing_.survey;
            return;
        }
        actions_.emplace_back(ProposeCommand { GroupTermCommand { { group, term, backend, point->position } } });
        return;
    }
}

void ControlCore::tick(Instant now)
{
    if (!leading_) {
        return;
    }
    for (const auto &[id, backend] : backends_) {
        const GroupKey &group = backend.announcement.group;
        const auto term = state_.terms().find(group);
        if (!failovers_.contains(group) && (term == state_.terms().end() || isSuspect(now, term->second))) {
            startFailover(now, group);
        }
    }
    for (auto &[group, failover] : failovers_) {
        advanceFailover(now, group, failover);
    }
    std::erase_if(failovers_, [this](const auto &entry) {
        const auto term = state_.terms().find(entry.first);
        return term != state_.terms().end() && term->second.term >= entry.second.term && !term->second.primary.empty();
    });
    followPrimaries(now);
    assignHomes(now);
}

std::vector<ControlAction> ControlCore::takeActions()
{
    return std::exchange(actions_, {});
}

const ControlState &ControlCore::state() const
{
    return state_;
}

std::map<VmId, std::uint64_t> ControlCore::liveEntries(Instant now) const
{
    std::map<VmId, std::uint64_t> result;
    for (const auto &[vm, session] : entries_) {
        if (session.leaseUntil > now) {
            result.emplace(vm, session.configVersion);
        }
    }
    return result;
}

bool ControlCore::isSuspect(Instant now, const GroupTerm &term) const
{
    if (term.primary.empty()) {
        return true;
    }
    const auto primary = backends_.find(term.primary);
    if (primary == backends_.end()) {
        return now > leadingSince_ + timing_.announcementSilence;
    }
    if (now > std::max(primary->second.heardAt, leadingSince_) + timing_.announcementSilence) {
        return true;
    }
    std::size_t against = 0;
    for (const auto &[vm, session] : entries_) {
        const auto view = session.views.find(term.primary);
        if (session.leaseUntil > now && view != session.views.end() && !view->second.reachable
            && std::chrono::milliseconds(view->second.stalledMs) >= timing_.unreachable) {
            ++against;
        }
    }
    return against > 0;
}

void ControlCore::startFailover(Instant now, const GroupKey &group)
{
    Failover failover;
    const auto known = state_.terms().find(group);
    failover.term = known == state_.terms().end() ? 0 : known->second.term;
    for (const auto &[id, backend] : backends_) {
        if (backend.announcement.group == group) {
            failover.term = std::max(failover.term, backend.announcement.point.term);
        }
    }
    ++failover.term;
    failover.deadline = now + timing_.lease;
    actions_.emplace_back(ProposeCommand { GroupTermCommand { { group, failover.term, {}, 0 } } });
    failovers_.emplace(group, std::move(failover));
}

void ControlCore::advanceFailover(Instant now, const GroupKey &group, Failover &failover)
{
    if (failover.stage == FailoverStage::Revoking) {
        const auto term = state_.terms().find(group);
        if (term == state_.terms().end() || term->second.term < failover.term) {
            return;
        }
        if (failover.revokedInVersion == 0) {
            failover.revokedInVersion = table_.version;
        }
        if (!allRevoked(now, failover.revokedInVersion)) {
            return;
        }
        failover.stage = FailoverStage::Surveying;
        failover.deadline = now + timing_.survey;
    }
    if (failover.stage != FailoverStage::Surveying) {
        return;
    }
    bool complete = true;
    for (const auto &[id, backend] : backends_) {
        const BackendAnnouncement &announcement = backend.announcement;
        if (announcement.group != group) {
            continue;
        }
        if (failover.asked.insert(id).second) {
            actions_.emplace_back(SurveyBackend { id, { announcement.host, announcement.port } });
        }
        complete = complete && failover.surveyed.contains(id);
    }
    if (complete || now >= failover.deadline) {
        promoteBest(now, group, failover);
    }
}

void ControlCore::promoteBest(Instant now, const GroupKey & /*group*/, Failover &failover)
{
    std::optional<LogPoint> best;
    for (const auto &[id, point] : failover.surveyed) {
        if (point && (!best || *point > *best)) {
            best = point;
            failover.candidate = id;
        }
    }
    if (!best) {
        failover.surveyed.clear();
        failover.asked.clear();
        failover.deadline = now + timing_.survey;
        return;
    }
    failover.stage = FailoverStage::Promoting;
    const BackendAnnouncement &announcement = backends_.at(failover.candidate).announcement;
    actions_.emplace_back(
        PromoteBackend { failover.candidate, { announcement.host, announcement.port }, failover.term });
}

void ControlCore::followPrimaries(Instant now)
{
    for (auto &[id, backend] : backends_) {
        const auto term = state_.terms().find(backend.announcement.group);
        if (term == state_.terms().end() || term->second.primary.empty() || term->second.primary == id
            || now < backend.followSentAt + FollowInterval || now > backend.heardAt + timing_.announcementSilence) {
            continue;
        }
        const bool follows
            = backend.announcement.role == BackendRole::Replica && backend.announcement.point.term >= term->second.term;
        const auto primary = backends_.find(term->second.primary);
        if (follows || primary == backends_.end()) {
            continue;
        }
        backend.followSentAt = now;
        actions_.emplace_back(FollowPrimary { id, { backend.announcement.host, backend.announcement.port },
            term->second.term, { primary->second.announcement.host, primary->second.announcement.port } });
    }
}

std::optional<VmId> ControlCore::pickHome(Instant now, const BackendAnnouncement &announcement) const
{
    std::optional<VmId> best;
    std::pair<bool, std::size_t> bestCost;
    for (const auto &[vm, session] : entries_) {
        if (session.leaseUntil <= now) {
            continue;
        }
        const auto held = static_cast<std::size_t>(std::count_if(table_.homes.begin(), table_.homes.end(),
            [&entry = vm](const HomeGrant &grant) { return grant.entry == entry; }));
        const std::pair<bool, std::size_t> cost(session.zone != announcement.zone, held);
        if (!best || cost < bestCost) {
            best = vm;
            bestCost = cost;
        }
    }
    return best;
}

void ControlCore::assignHomes(Instant now)
{
    // Entries that the previous leader knew may still hold a lease.
    if (now < leadingSince_ + timing_.lease + timing_.drift) {
        return;
    }
    bool changed = std::erase_if(table_.homes, [this, now](const HomeGrant &grant) {
        const auto session = entries_.find(grant.entry);
        return session == entries_.end() || session->second.leaseUntil <= now;
    }) > 0;
    for (const auto &[id, backend] : backends_) {
        const bool known = std::any_of(table_.homes.begin(), table_.homes.end(),
            [&home = id](const HomeGrant &grant) { return grant.backend == home; });
        if (known) {
            continue;
        }
        const std::optional<VmId> home = pickHome(now, backend.announcement);
        if (!home) {
            continue;
        }
        const auto fixed = static_cast<std::uint32_t>(FixedShare * entries_.size());
        const std::uint32_t leased
            = backend.announcement.connections - std::min(backend.announcement.connections, fixed);
        table_.homes.push_back({ id, *home, leased, FixedShare });
        changed = true;
    }
    if (changed) {
        rebuildTable(now);
    }
}

void ControlCore::rebuildTable(Instant now)
{
    ++table_.version;
    table_.terms.clear();
    for (const auto &[group, term] : state_.terms()) {
        table_.terms.push_back(term);
    }
    pushTable(now);
}

void ControlCore::pushTable(Instant now)
{
    for (const auto &[vm, session] : entries_) {
        grant(now, vm, 0);
    }
}

void ControlCore::grant(Instant /*now*/, const VmId &to, std::uint64_t nonce)
{
    LeaseGrant message;
    message.nonce = nonce;
    message.durationMs
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(timing_.lease).count());
    message.table = table_;
    message.configVersion = state_.configVersion();
    if (entries_.at(to).configVersion < state_.configVersion()) {
        message.configJson = state_.configJson();
    }
    actions_.emplace_back(ControlSend { to, std::move(message) });
}

bool ControlCore::allRevoked(Instant now, std::uint64_t version) const
{
    if (now < leadingSince_ + timing_.lease + timing_.drift) {
        return false;
    }
    return std::all_of(entries_.begin(), entries_.end(), [now, version](const auto &entry) {
        return entry.second.leaseUntil <= now || entry.second.confirmedVersion >= version;
    });
}

} // namespace daisyrelay
