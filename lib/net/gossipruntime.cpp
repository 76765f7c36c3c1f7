#include "gossipruntime.h"

#include <random>

#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration TickInterval = std::chrono::milliseconds(20);

/// Returns a number that increases with each start of this VM. The wall clock suffices, because the number only orders
/// the starts.
static std::uint64_t currentBootNumber()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

static GossipOptions gossipOptions(const Settings &settings)
{
    GossipOptions options;
    options.boot = currentBootNumber();
    options.randomSeed = std::random_device()();
    MemberRecord &self = options.self;
    self.id = settings.id;
    self.zone = settings.zone;
    self.region = settings.region;
    self.isEntry = settings.isEntry;
    self.isControlVm = settings.isControlVm;
    self.httpHost = settings.http.host;
    self.httpPort = settings.http.port;
    self.peerHost = settings.peer.host;
    self.peerPort = settings.peer.port;
    self.incarnation = options.boot;
    for (const Seed &seed : settings.seeds) {
        options.seeds.push_back({ seed.id, seed.peer.host, seed.peer.port });
    }
    return options;
}

GossipRuntime::GossipRuntime(
    EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks)
    : thread_(thread)
    , settings_(settings)
    , faults_(faults)
    , hooks_(std::move(hooks))
    , core_(gossipOptions(settings), counters)
    , transport_(thread, settings.secret, counters, [this](const GossipMessage &message) { onMessage(message); })
{
}

Expected<void> GossipRuntime::listen()
{
    return transport_.listen(settings_.peer);
}

void GossipRuntime::start()
{
    thread_.runEvery(TickInterval, [this]() {
        core_.tick(Clock::now());
        flush();
    });
}

void GossipRuntime::onMessage(const GossipMessage &message)
{
    if (faults_.blocksIncoming(message.sender.id)) {
        return;
    }
    core_.receive(Clock::now(), message);
    flush();
}

void GossipRuntime::announceBackend(const BackendAnnouncement &announcement)
{
    core_.recordAnnouncement(Clock::now(), announcement);
    flush();
}

void GossipRuntime::onSync(const VmId &from, const MembershipSync &sync)
{
    core_.receiveSync(Clock::now(), from, sync);
    flush();
}

void GossipRuntime::onPeerUnreachable(const VmId &vm)
{
    core_.onPeerConnectionLost(vm);
}

void GossipRuntime::setConfigVersion(std::uint64_t version)
{
    core_.setConfigVersion(version);
}

void GossipRuntime::startDraining()
{
    core_.startDraining(Clock::now());
    flush();
}

void GossipRuntime::leave()
{
    core_.leave(Clock::now());
    flush();
}

static std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        break;
    }
    return "left";
}

void GossipRuntime::handleMemberChange(const MemberRecord &record)
{
    faults_.recordZone(record.id, record.zone);
    // Suspicions are counted but not logged, because they are often refuted shortly after.
    if (record.state != MemberState::Suspect) {
        spdlog::info("VM {} in zone {} is {}{}", record.id.value, record.zone.value, stateName(record.state),
            record.isDraining ? " and draining" : "");
    }
    hooks_.onMemberChanged(record);
}

void GossipRuntime::flush()
{
    for (const GossipAction &action : core_.takeActions()) {
        if (const auto *send = std::get_if<SendGossip>(&action); send != nullptr) {
            if (!faults_.blocksOutgoing(send->message.to) && !faults_.shouldDropDatagram()) {
                transport_.send({ send->host, send->port }, send->message);
            }
        } else if (const auto *sync = std::get_if<SendSync>(&action); sync != nullptr) {
            hooks_.sendSync(sync->to, sync->sync);
        } else if (const auto *changed = std::get_if<MemberChanged>(&action); changed != nullptr) {
            handleMemberChange(changed->record);
        } else if (const auto *removed = std::get_if<MemberRemoved>(&action); removed != nullptr) {
            hooks_.onMemberRemoved(removed->id);
        } else if (const auto *announced = std::get_if<BackendAnnounced>(&action); announced != nullptr) {
            faults_.recordZone(announced->announcement.host, announced->announcement.zone);
            if (announced->hasChanged) {
                spdlog::info("backend server {} in zone {} is {}", announced->announcement.id.value,
                    announced->announcement.zone.value, announced->announcement.isLeaving ? "leaving" : "known");
            }
            hooks_.onBackendAnnounced(announced->announcement);
        } else if (const auto *expired = std::get_if<BackendExpired>(&action); expired != nullptr) {
            spdlog::info("backend server {} stopped sending announcements", expired->id.value);
        }
    }
}

static json::object describeMember(const KnownMember &known, Instant now)
{
    const MemberRecord &record = known.record;
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.changedAt);
    return { { "id", record.id.value }, { "zone", record.zone.value }, { "region", record.region },
        { "state", stateName(record.state) }, { "since_ms", since.count() }, { "draining", record.isDraining },
        { "entry", record.isEntry }, { "control", record.isControlVm }, { "config_version", known.configVersion },
        { "incarnation", record.incarnation }, { "http", record.httpHost + ":" + std::to_string(record.httpPort) },
        { "peer", record.peerHost + ":" + std::to_string(record.peerPort) } };
}

void GossipRuntime::addStatus(json::object &status) const
{
    const Instant now = Clock::now();
    json::array members;
    for (const auto &[id, known] : core_.members().all()) {
        members.emplace_back(describeMember(known, now));
    }
    status["vms"] = std::move(members);
    json::array digests;
    for (const ServiceDigest &digest : core_.digests().all(now)) {
        digests.emplace_back(json::object { { "region", digest.region }, { "service", digest.service.value },
            { "groups", digest.groups }, { "databases", digest.databases }, { "leaving", digest.leaving },
            { "age_ms", digest.ageMs } });
    }
    status["digests"] = std::move(digests);
    json::array duplicates;
    for (const auto &[id, other] : core_.announcements().duplicates()) {
        duplicates.emplace_back(
            json::object { { "id", id.value }, { "refused_address", other.host + ":" + std::to_string(other.port) } });
    }
    status["duplicate_ids"] = std::move(duplicates);
}

} // namespace daisyrelay
