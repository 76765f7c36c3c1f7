#include "daisyrelay/membership/gossipcore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t ProbeUpdateBytes = 150;
static constexpr std::size_t MaxRelayedPings = 256;
static constexpr std::size_t LeaveFanout = 5;

GossipCore::GossipCore(GossipOptions options, Counters &counters)
    : options_(std::move(options))
    , counters_(counters)
    , members_(options_.self, options_.timing, counters)
    , announcements_(options_.announcements, counters)
    , updates_(members_, announcements_, digests_)
    , prober_(options_.timing, options_.randomSeed)
    , replays_(options_.timing.maxMembers)
    , random_(options_.randomSeed + 1)
{
}

void GossipCore::publishMemberChanges()
{
    for (const MemberRecord &record : members_.takeChanges()) {
        updates_.add(record.id);
        if (record.id != members_.self().id) {
            actions_.emplace_back(MemberChanged { record });
        }
    }
    for (const VmId &id : members_.takeRemoved()) {
        updates_.remove(id);
        replays_.removeSender(id);
        actions_.emplace_back(MemberRemoved { id });
    }
}

void GossipCore::applyOutcome(Instant now, AnnouncementOutcome outcome, const BackendId &id)
{
    if (outcome == AnnouncementOutcome::Changed) {
        updates_.add(id);
    }
    if (outcome == AnnouncementOutcome::Refreshed) {
        updates_.addPosition(now, id);
    }
    if (outcome == AnnouncementOutcome::Changed || outcome == AnnouncementOutcome::Refreshed) {
        actions_.emplace_back(
            BackendAnnounced { *announcements_.current(now, id), outcome == AnnouncementOutcome::Changed });
    }
}

AnnouncementOutcome GossipCore::recordAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    const AnnouncementOutcome outcome = announcements_.recordAnnouncement(now, announcement);
    applyOutcome(now, outcome, announcement.id);
    return outcome;
}

void GossipCore::onPeerConnectionLost(const VmId &vm)
{
    prober_.probeSoon(vm);
}

void GossipCore::setConfigVersion(std::uint64_t version)
{
    configVersion_ = version;
    members_.setConfigVersion(members_.self().id, version);
}

void GossipCore::startDraining(Instant now)
{
    members_.setSelf(now, MemberState::Alive, true);
    publishMemberChanges();
}

void GossipCore::leave(Instant now)
{
    members_.setSelf(now, MemberState::Left, true);
    publishMemberChanges();
    for (std::size_t sent = 0; sent < LeaveFanout; ++sent) {
        if (const std::optional<MemberRecord> peer = choosePeer(); peer) {
            send(now, *peer, {}, 0);
        }
    }
}

void GossipCore::receive(Instant now, const GossipMessage &message)
{
    if (message.to != members_.self().id) {
        counters_.add("gossip.dropped.wrong-receiver");
        return;
    }
    if (message.sender.id == members_.self().id) {
        counters_.add("gossip.dropped.own");
        return;
    }
    if (!replays_.accept(message.sender.id, message.boot, message.sequence)) {
        counters_.add("gossip.dropped.replay");
        return;
    }
    members_.merge(now, message.sender);
    members_.setConfigVersion(message.sender.id, message.configVersion);
    for (const MemberRecord &record : message.members) {
        members_.merge(now, record);
    }
    if (const KnownMember *sender = members_.find(message.sender.id); sender != nullptr
        && sender->record.incarnation >= message.sender.incarnation && sender->record.state != MemberState::Alive
        && message.sender.state == MemberState::Alive) {
        updates_.add(message.sender.id); // Lets the sender refute its recorded state.
    }
    for (const BackendAnnouncement &announcement : message.backends) {
        const AnnouncementOutcome outcome = announcements_.merge(now, announcement);
        applyOutcome(now, outcome, announcement.id);
        if (const auto known = announcements_.current(now, announcement.id);
            known && known->generation > announcement.generation) {
            updates_.add(announcement.id); // The sender has not received that the server left or returned.
        }
    }
    for (const PositionUpdate &positionUpdate : message.positionUpdates) {
        const auto [outcome, id] = announcements_.merge(now, positionUpdate);
        applyOutcome(now, outcome, id);
    }
    for (const ServiceDigest &digest : message.digests) {
        if (digest.region != members_.self().region) {
            digests_.merge(now, digest);
        }
    }
    publishMemberChanges();
    if (message.kind == GossipKind::Ping) {
        GossipMessage ack;
        ack.kind = GossipKind::Ack;
        ack.probe = message.probe;
        send(now, message.sender, std::move(ack), ProbeUpdateBytes);
    } else if (message.kind == GossipKind::PingRequest) {
        onPingRequest(now, message);
    } else if (message.kind == GossipKind::Ack) {
        onAck(now, message);
    }
    compareTables(now, message);
}

void GossipCore::onPingRequest(Instant now, const GossipMessage &message)
{
    const KnownMember *target = members_.find(message.target);
    if (target == nullptr || message.target == members_.self().id) {
        return;
    }
    constexpr std::uint64_t RelayedBit = std::uint64_t { 1 } << 63U;
    const std::uint64_t number = RelayedBit | nextRelay_++;
    relayed_[number] = { message.sender.id, message.probe, message.target };
    if (relayed_.size() > MaxRelayedPings) {
        relayed_.erase(relayed_.begin());
    }
    GossipMessage ping;
    ping.kind = GossipKind::Ping;
    ping.probe = number;
    send(now, target->record, std::move(ping), 0);
}

void GossipCore::onAck(Instant now, const GossipMessage &message)
{
    const auto relayed = relayed_.find(message.probe);
    if (relayed == relayed_.end()) {
        prober_.onAck(message.probe);
        return;
    }
    GossipMessage ack;
    ack.kind = GossipKind::Ack;
    ack.probe = relayed->second.probe;
    if (const KnownMember *requester = members_.find(relayed->second.requester); requester != nullptr) {
        send(now, requester->record, std::move(ack), 0);
    }
    relayed_.erase(relayed);
}

void GossipCore::compareTables(Instant now, const GossipMessage &message)
{
    const bool isSameRegion = message.sender.region == members_.self().region;
    const bool tablesDiffer = message.membersHash != members_.hash()
        || (isSameRegion && !message.sender.isControlVm && !members_.self().isControlVm
            && message.backendsHash != announcements_.hash());
    const bool isDisseminated = updates_.hasNoPendingChanges();
    const bool hasPersisted = tablesDiffer && isDisseminated && tablesDifferSince_ != Instant {}
        && tablesDifferSince_ + options_.timing.syncDelay <= now;
    if (nextSyncAt_ <= now && (!hasJoined_ || hasPersisted)) {
        nextSyncAt_ = now + (hasJoined_ ? options_.timing.syncInterval : options_.timing.reconnectInterval);
        tablesDifferSince_ = {};
        counters_.add(hasJoined_ ? "membership.sync.repair" : "membership.sync.join");
        sendTables(now, message.sender.id, true);
        return;
    }
    if (!tablesDiffer) {
        tablesDifferSince_ = {};
    } else if (tablesDifferSince_ == Instant {}) {
        tablesDifferSince_ = now;
    }
}

void GossipCore::sendTables(Instant now, const VmId &to, bool expectsResponse)
{
    SendSync action { to, {} };
    action.sync.expectsResponse = expectsResponse;
    for (const auto &[id, known] : members_.all()) {
        action.sync.members.push_back(known.record);
    }
    const KnownMember *receiver = members_.find(to);
    for (BackendAnnouncement &announcement : announcements_.all(now)) {
        if (receiver == nullptr || updates_.keepsFullDetail(receiver->record, announcement)) {
            action.sync.backends.push_back(std::move(announcement));
        }
    }
    actions_.emplace_back(std::move(action));
}

void GossipCore::receiveSync(Instant now, const VmId &from, const MembershipSync &sync)
{
    for (const MemberRecord &record : sync.members) {
        members_.merge(now, record);
    }
    for (const BackendAnnouncement &announcement : sync.backends) {
        applyOutcome(now, announcements_.merge(now, announcement), announcement.id);
    }
    publishMemberChanges();
    hasJoined_ = hasJoined_ || !sync.expectsResponse;
    if (sync.expectsResponse) {
        sendTables(now, from, false);
    }
}

std::optional<MemberRecord> GossipCore::choosePeer()
{
    // Most updates concern VMs in the same region and control VMs, so most datagrams go there.
    constexpr unsigned AnyPeerOneIn = 5;
    const bool shouldUseAnyPeer = random_() % AnyPeerOneIn == 0;
    std::vector<const MemberRecord *> preferredPeers;
    std::vector<const MemberRecord *> allPeers;
    for (const auto &[id, known] : members_.all()) {
        if (id == members_.self().id || known.record.state > MemberState::Suspect) {
            continue;
        }
        allPeers.push_back(&known.record);
        if (known.record.isControlVm || known.record.region == members_.self().region) {
            preferredPeers.push_back(&known.record);
        }
    }
    const std::vector<const MemberRecord *> &chosen
        = shouldUseAnyPeer || preferredPeers.empty() ? allPeers : preferredPeers;
    if (chosen.empty()) {
        return std::nullopt;
    }
    return *chosen[random_() % chosen.size()];
}

void GossipCore::tick(Instant now)
{
    members_.tick(now);
    for (const ProbeStep &step : prober_.tick(now, members_)) {
        performProbeStep(now, step);
    }
    for (const BackendId &id : announcements_.expire(now)) {
        updates_.remove(id);
        actions_.emplace_back(BackendExpired { id });
    }
    publishMemberChanges();
    if (nextReconnectAt_ <= now) {
        nextReconnectAt_ = now + options_.timing.reconnectInterval;
        reconnect(now);
    }
    if (nextDisseminationAt_ <= now) {
        nextDisseminationAt_ = now + options_.timing.disseminationInterval;
        disseminate(now);
    }
}

void GossipCore::performProbeStep(Instant now, const ProbeStep &step)
{
    if (step.kind == ProbeStep::Kind::Failed) {
        members_.suspect(now, step.target);
        prober_.probeSoon(step.target); // A suspected VM is probed repeatedly.
        return;
    }
    const KnownMember *to = members_.find(step.to);
    if (to == nullptr) {
        return;
    }
    GossipMessage message;
    message.kind = step.kind == ProbeStep::Kind::Ping ? GossipKind::Ping : GossipKind::PingRequest;
    message.probe = step.probe;
    message.target = step.target;
    if (to->record.state == MemberState::Suspect) {
        message.members.push_back(to->record); // Lets the suspected VM refute the suspicion.
    }
    send(now, to->record, std::move(message), ProbeUpdateBytes);
}

/// Pings a VM that is not alive, so that both sides of a healed partition rejoin, and probes all suspects.
void GossipCore::reconnect(Instant now)
{
    std::vector<MemberRecord> unreachable;
    for (const GossipSeed &seed : options_.seeds) {
        if (seed.id != members_.self().id && members_.find(seed.id) == nullptr) {
            MemberRecord record;
            record.id = seed.id;
            record.peerHost = seed.host;
            record.peerPort = seed.port;
            unreachable.push_back(std::move(record));
        }
    }
    for (const auto &[id, known] : members_.all()) {
        if (known.record.state == MemberState::Dead) {
            unreachable.push_back(known.record);
        } else if (known.record.state == MemberState::Suspect) {
            prober_.probeSoon(id);
        }
    }
    // Pings up to three VMs until another VM is known, and one VM in each interval after that.
    const std::size_t maxPings = members_.liveCount() <= 1 ? 3 : 1;
    std::shuffle(unreachable.begin(), unreachable.end(), random_);
    for (std::size_t index = 0; index < std::min(maxPings, unreachable.size()); ++index) {
        GossipMessage ping;
        ping.kind = GossipKind::Ping;
        if (unreachable[index].state == MemberState::Dead) {
            ping.members.push_back(unreachable[index]);
        }
        send(now, unreachable[index], std::move(ping), 0);
    }
    digests_.expire(now);
    std::vector<BackendAnnouncement> ownRegion = announcements_.all(now);
    std::erase_if(ownRegion, [this](const BackendAnnouncement &announcement) {
        return members_.regionOf(announcement.zone) != members_.self().region;
    });
    digests_.summarize(now, members_.self().region, ownRegion);
}

void GossipCore::disseminate(Instant now)
{
    const std::chrono::duration<double> interval = options_.timing.disseminationInterval;
    updates_.addAllowance(
        static_cast<std::size_t>(interval.count() * static_cast<double>(options_.timing.maxUpdateBytesPerSecond)));
    if (const std::optional<MemberRecord> peer = choosePeer(); peer) {
        send(now, *peer, {}, updates_.allowance());
    }
}

void GossipCore::send(Instant now, const MemberRecord &to, GossipMessage message, std::size_t maxUpdateBytes)
{
    message.to = to.id;
    message.boot = options_.boot;
    message.sequence = nextSequence_++;
    message.sender = members_.self();
    message.configVersion = configVersion_;
    message.membersHash = members_.hash();
    message.backendsHash = announcements_.hash();
    updates_.fill(now, to, message, maxUpdateBytes);
    actions_.emplace_back(SendGossip { to.peerHost, to.peerPort, std::move(message) });
}

std::vector<GossipAction> GossipCore::takeActions()
{
    return std::exchange(actions_, {});
}

const MemberTable &GossipCore::members() const
{
    return members_;
}

const AnnouncementDirectory &GossipCore::announcements() const
{
    return announcements_;
}

const ServiceDigests &GossipCore::digests() const
{
    return digests_;
}

} // namespace daisyrelay
