#include "daisyrelay/membership/gossipcore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t NewsBytesOfProbe = 150;
static constexpr std::size_t MostRelayed = 256;
static constexpr std::size_t LeaveFanout = 5;

GossipCore::GossipCore(GossipOptions options, Counters &counters)
    : options_(std::move(options))
    , counters_(counters)
    , members_(options_.self, options_.timing, counters)
    , announcements_(options_.announcements, counters)
    , news_(members_, announcements_, digests_)
    , prober_(options_.timing, options_.randomSeed)
    , replays_(options_.timing.mostMembers)
    , random_(options_.randomSeed + 1)
{
}

void GossipCore::afterMerge()
{
    for (const MemberRecord &record : members_.takeChanges()) {
        news_.add(record.id);
        if (record.id != members_.self().id) {
            actions_.emplace_back(MemberChanged { record });
        }
    }
    for (const VmId &id : members_.takeForgotten()) {
        news_.remove(id);
        replays_.forget(id);
        actions_.emplace_back(MemberForgotten { id });
    }
}

void GossipCore::takeOutcome(Instant now, AnnouncementOutcome outcome, const BackendId &id)
{
    if (outcome == AnnouncementOutcome::Changed) {
        news_.add(id);
    }
    if (outcome == AnnouncementOutcome::Refreshed) {
        news_.addPosition(now, id);
    }
    if (outcome == AnnouncementOutcome::Changed || outcome == AnnouncementOutcome::Refreshed) {
        actions_.emplace_back(
            BackendHeard { *announcements_.current(now, id), outcome == AnnouncementOutcome::Changed });
    }
}

AnnouncementOutcome GossipCore::hear(Instant now, const BackendAnnouncement &announcement)
{
    const AnnouncementOutcome outcome = announcements_.hear(now, announcement);
    takeOutcome(now, outcome, announcement.id);
    return outcome;
}

void GossipCore::onDoubt(const VmId &vm)
{
    prober_.hurry(vm);
}

void GossipCore::setConfigVersion(std::uint64_t version)
{
    configVersion_ = version;
    members_.setConfigVersion(members_.self().id, version);
}

void GossipCore::startDraining(Instant now)
{
    members_.setSelf(now, MemberState::Alive, true);
    afterMerge();
}

void GossipCore::leave(Instant now)
{
    members_.setSelf(now, MemberState::Left, true);
    afterMerge();
    for (std::size_t sent = 0; sent < LeaveFanout; ++sent) {
        if (const std::optional<MemberRecord> peer = pickPeer(); peer) {
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
        news_.add(message.sender.id); // Lets the sender refute what is said of it.
    }
    for (const BackendAnnouncement &announcement : message.backends) {
        const AnnouncementOutcome outcome = announcements_.merge(now, announcement);
        takeOutcome(now, outcome, announcement.id);
        if (const auto known = announcements_.current(now, announcement.id);
            known && known->generation > announcement.generation) {
            news_.add(announcement.id); // The sender missed that the server left or came back.
        }
    }
    for (const BackendPulse &pulse : message.pulses) {
        const auto [outcome, id] = announcements_.merge(now, pulse);
        takeOutcome(now, outcome, id);
    }
    for (const ServiceDigest &digest : message.digests) {
        if (digest.region != members_.self().region) {
            digests_.merge(now, digest);
        }
    }
    afterMerge();
    if (message.kind == GossipKind::Ping) {
        GossipMessage ack;
        ack.kind = GossipKind::Ack;
        ack.probe = message.probe;
        send(now, message.sender, std::move(ack), NewsBytesOfProbe);
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
    if (relayed_.size() > MostRelayed) {
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
    const bool sameRegion = message.sender.region == members_.self().region;
    const bool differs = message.membersHash != members_.hash()
        || (sameRegion && !message.sender.control && !members_.self().control
            && message.backendsHash != announcements_.hash());
    const bool quiet = news_.isQuiet();
    const bool lasting
        = differs && quiet && differentSince_ != Instant {} && differentSince_ + options_.timing.syncPatience <= now;
    if (nextSyncAt_ <= now && (!joined_ || lasting)) {
        nextSyncAt_ = now + (joined_ ? options_.timing.syncInterval : options_.timing.reconnect);
        differentSince_ = {};
        counters_.add(joined_ ? "membership.sync.repair" : "membership.sync.join");
        sendTables(now, message.sender.id, true);
        return;
    }
    if (!differs) {
        differentSince_ = {};
    } else if (differentSince_ == Instant {}) {
        differentSince_ = now;
    }
}

void GossipCore::sendTables(Instant now, const VmId &to, bool wantsAnswer)
{
    SendSync action { to, {} };
    action.sync.wantsAnswer = wantsAnswer;
    for (const auto &[id, known] : members_.all()) {
        action.sync.members.push_back(known.record);
    }
    const KnownMember *receiver = members_.find(to);
    for (BackendAnnouncement &announcement : announcements_.all(now)) {
        if (receiver == nullptr || news_.serves(receiver->record, announcement)) {
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
        takeOutcome(now, announcements_.merge(now, announcement), announcement.id);
    }
    afterMerge();
    joined_ = joined_ || !sync.wantsAnswer;
    if (sync.wantsAnswer) {
        sendTables(now, from, false);
    }
}

std::optional<MemberRecord> GossipCore::pickPeer()
{
    // Most news is for the own region, or for the control VMs, so most of it goes there.
    constexpr unsigned OthersOneIn = 5;
    const bool anywhere = random_() % OthersOneIn == 0;
    std::vector<const MemberRecord *> peers;
    std::vector<const MemberRecord *> others;
    for (const auto &[id, known] : members_.all()) {
        if (id == members_.self().id || known.record.state > MemberState::Suspect) {
            continue;
        }
        others.push_back(&known.record);
        if (known.record.control || known.record.region == members_.self().region) {
            peers.push_back(&known.record);
        }
    }
    const std::vector<const MemberRecord *> &chosen = anywhere || peers.empty() ? others : peers;
    if (chosen.empty()) {
        return std::nullopt;
    }
    return *chosen[random_() % chosen.size()];
}

void GossipCore::tick(Instant now)
{
    members_.tick(now);
    for (const ProbeStep &step : prober_.tick(now, members_)) {
        perform(now, step);
    }
    for (const BackendId &id : announcements_.expire(now)) {
        news_.remove(id);
        actions_.emplace_back(BackendExpired { id });
    }
    afterMerge();
    if (nextReconnectAt_ <= now) {
        nextReconnectAt_ = now + options_.timing.reconnect;
        reconnect(now);
    }
    if (nextSpreadAt_ <= now) {
        nextSpreadAt_ = now + options_.timing.spreadInterval;
        spread(now);
    }
}

void GossipCore::perform(Instant now, const ProbeStep &step)
{
    if (step.kind == ProbeStep::Kind::Failed) {
        members_.suspect(now, step.target);
        prober_.hurry(step.target); // It is asked again and again while it is suspected.
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
        message.members.push_back(to->record); // So that it can refute the suspicion.
    }
    send(now, to->record, std::move(message), NewsBytesOfProbe);
}

/// Pings a VM that is not alive, so that the two sides of a healed partition find each other, and all suspects.
void GossipCore::reconnect(Instant now)
{
    std::vector<MemberRecord> lost;
    for (const GossipSeed &seed : options_.seeds) {
        if (seed.id != members_.self().id && members_.find(seed.id) == nullptr) {
            MemberRecord record;
            record.id = seed.id;
            record.peerHost = seed.host;
            record.peerPort = seed.port;
            lost.push_back(std::move(record));
        }
    }
    for (const auto &[id, known] : members_.all()) {
        if (known.record.state == MemberState::Dead) {
            lost.push_back(known.record);
        } else if (known.record.state == MemberState::Suspect) {
            prober_.hurry(id);
        }
    }
    // At the start each seed is tried; later one VM in each interval.
    const std::size_t most = members_.liveCount() <= 1 ? 3 : 1;
    std::shuffle(lost.begin(), lost.end(), random_);
    for (std::size_t index = 0; index < std::min(most, lost.size()); ++index) {
        GossipMessage ping;
        ping.kind = GossipKind::Ping;
        if (lost[index].state == MemberState::Dead) {
            ping.members.push_back(lost[index]);
        }
        send(now, lost[index], std::move(ping), 0);
    }
    digests_.expire(now);
    std::vector<BackendAnnouncement> own = announcements_.all(now);
    std::erase_if(own, [this](const BackendAnnouncement &announcement) {
        return members_.regionOf(announcement.zone) != members_.self().region;
    });
    digests_.summarize(now, members_.self().region, own);
}

void GossipCore::spread(Instant now)
{
    const std::chrono::duration<double> interval = options_.timing.spreadInterval;
    news_.allow(static_cast<std::size_t>(interval.count() * static_cast<double>(options_.timing.spreadBytesPerSecond)));
    if (const std::optional<MemberRecord> peer = pickPeer(); peer) {
        send(now, *peer, {}, news_.allowance());
    }
}

void GossipCore::send(Instant now, const MemberRecord &to, GossipMessage message, std::size_t newsBytes)
{
    message.to = to.id;
    message.boot = options_.boot;
    message.sequence = nextSequence_++;
    message.sender = members_.self();
    message.configVersion = configVersion_;
    message.membersHash = members_.hash();
    message.backendsHash = announcements_.hash();
    news_.fill(now, to, message, newsBytes);
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
