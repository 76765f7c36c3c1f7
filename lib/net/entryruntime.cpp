#include "entryruntime.h"

#include <algorithm>
#include <filesystem>
#include <random>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration TickInterval = std::chrono::milliseconds(10);
static constexpr Duration ConfigChangeTimeout = std::chrono::seconds(5);
static constexpr Duration ConfigChangeRetryInterval = std::chrono::milliseconds(100);

static std::vector<VmId> seedControlVms(const Settings &settings)
{
    std::vector<VmId> result;
    for (const Seed &seed : settings.seeds) {
        if (seed.isControlVm) {
            result.push_back(seed.id);
        }
    }
    return result;
}

static ReadPolicy toReadPolicy(Policy policy)
{
    switch (policy) {
    case Policy::PrimaryReads:
        return ReadPolicy::PrimaryOnly;
    case Policy::RoundRobin:
        return ReadPolicy::RoundRobin;
    default:
        return ReadPolicy::CheapestFresh;
    }
}

static bool isEmptyFolder(const std::string &folder)
{
    std::error_code error;
    const bool empty = std::filesystem::is_empty(folder, error);
    return error ? !std::filesystem::exists(folder, error) : empty;
}

static RelayOptions relayOptions(const Settings &settings)
{
    RelayOptions options;
    options.vm = settings.id;
    options.zone = settings.zone;
    options.secret = settings.secret;
    options.bootId = std::to_string(std::random_device()());
    options.transactionIdleTimeout = settings.transactionIdleTimeout;
    options.readPolicy = toReadPolicy(settings.policy);
    options.hasAdmissionControl = settings.policy != Policy::NoAdmission;
    if (settings.policy == Policy::FixedShares) {
        options.fixedShareEntries = static_cast<std::uint32_t>(std::max<std::size_t>(1, settings.seeds.size()));
    }
    options.keyStoreVms = seedControlVms(settings);
    options.isFirstStart = settings.isControlVm && isEmptyFolder(settings.dataFolder);
    options.randomSeed = std::random_device()();
    return options;
}

static std::uint64_t drawFirstNonce()
{
    constexpr unsigned HalfOfNonce = 32;
    return static_cast<std::uint64_t>(std::random_device()()) << HalfOfNonce;
}

EntryRuntime::EntryRuntime(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks)
    : thread_(thread)
    , settings_(settings)
    , counters_(counters)
    , hooks_(std::move(hooks))
    , controlVms_(seedControlVms(settings))
    , relay_(relayOptions(settings), counters)
    , lease_(settings.id, settings.zone, controlVms_, drawFirstNonce())
{
}

void EntryRuntime::start()
{
    thread_.runEvery(TickInterval, [this]() { tick(); });
}

void EntryRuntime::tick()
{
    const Instant now = Clock::now();
    relay_.tick(now);
    renewLease();
    for (auto &[id, pending] : pendingConfigChanges_) {
        if (pending.nextAttemptAt <= now) {
            sendConfigChange(pending);
        }
    }
    std::erase_if(pendingConfigChanges_, [this, now](const auto &entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        hooks_.sendConfigChangeResponse(
            { entry.first, false, ErrorKind::ChangeOutcomeUnknown, "no quorum of control VMs answered", 0 });
        return true;
    });
    hooks_.setReady(relay_.configVersion() > 0);
    flush();
}

void EntryRuntime::renewLease()
{
    const Instant now = Clock::now();
    const LeaseHolder::Renewal renewal
        = lease_.tick(now, relay_.backendViews(now), relay_.configVersion(), relay_.backendsOverGrant(now));
    for (const VmId &to : renewal.to) {
        hooks_.sendToPeer(to, renewal.request);
    }
}

void EntryRuntime::onCallerRequest(const CallerRequest &request)
{
    relay_.onCallerRequest(Clock::now(), request);
    flush();
}

void EntryRuntime::onMessage(const PeerMessage &message)
{
    const Instant now = Clock::now();
    if (const auto *forward = std::get_if<ForwardRequest>(&message.payload); forward != nullptr) {
        relay_.onForwardRequest(now, message.from, *forward);
    } else if (const auto *response = std::get_if<ForwardResponse>(&message.payload); response != nullptr) {
        relay_.onForwardResponse(now, message.from, *response);
    } else if (const auto *claim = std::get_if<KeyClaim>(&message.payload); claim != nullptr) {
        relay_.onKeyClaim(now, message.from, *claim);
    } else if (const auto *claimResponse = std::get_if<KeyClaimResponse>(&message.payload); claimResponse != nullptr) {
        relay_.onKeyClaimResponse(now, message.from, *claimResponse);
    } else if (const auto *copyRequest = std::get_if<KeyCopyRequest>(&message.payload); copyRequest != nullptr) {
        relay_.onKeyCopyRequest(now, message.from, *copyRequest);
    } else if (const auto *copyChunk = std::get_if<KeyCopyChunk>(&message.payload); copyChunk != nullptr) {
        relay_.onKeyCopyChunk(now, message.from, *copyChunk);
    } else if (const auto *announced = std::get_if<BackendAnnouncement>(&message.payload); announced != nullptr) {
        relay_.onAnnouncement(now, *announced);
    } else if (const auto *grant = std::get_if<LeaseGrant>(&message.payload); grant != nullptr) {
        onGrant(message.from, *grant);
    } else if (const auto *changeResponse = std::get_if<ConfigChangeResponse>(&message.payload);
               changeResponse != nullptr) {
        onConfigChangeResponse(*changeResponse);
    }
    flush();
}

void EntryRuntime::onGrant(const VmId &from, const LeaseGrant &grant)
{
    const Instant now = Clock::now();
    if (lease_.onGrant(now, from, grant)) {
        relay_.onLease(now, lease_.state());
        renewLease();
    }
    if (grant.configVersion <= relay_.configVersion() || grant.configJson.empty()) {
        return;
    }
    const Expected<Configuration> configuration = parseConfiguration(grant.configJson);
    if (!configuration) {
        spdlog::error("ignoring an invalid configuration from the control VMs: {}", configuration.error().detail);
        return;
    }
    configuration_ = *configuration;
    relay_.onConfiguration(now, grant.configVersion, *configuration);
    hooks_.onConfigActivated(grant.configVersion, grant.configJson);
    spdlog::info("configuration version {} is active", grant.configVersion);
}

void EntryRuntime::onConfigChange(const ConfigChangeRequest &request)
{
    const Instant now = Clock::now();
    PendingConfigChange &pending = pendingConfigChanges_[request.requestId];
    pending = { request, 0, now + ConfigChangeTimeout, now };
    sendConfigChange(pending);
    flush();
}

void EntryRuntime::sendConfigChange(PendingConfigChange &pending)
{
    pending.nextAttemptAt = Clock::now() + ConfigChangeRetryInterval;
    if (!controlVms_.empty()) {
        hooks_.sendToPeer(controlVms_[pending.nextControlVm++ % controlVms_.size()], pending.request);
    }
}

void EntryRuntime::onConfigChangeResponse(const ConfigChangeResponse &response)
{
    const auto found = pendingConfigChanges_.find(response.requestId);
    if (found == pendingConfigChanges_.end()) {
        return;
    }
    if (!response.isAccepted && response.error == ErrorKind::NoQuorum) {
        return;
    }
    hooks_.sendConfigChangeResponse(response);
    pendingConfigChanges_.erase(found);
}

void EntryRuntime::onPeerUnreachable(const VmId &vm)
{
    relay_.onPeerUnreachable(Clock::now(), vm);
    flush();
}

void EntryRuntime::onConnectionOpened(ConnectionId connection)
{
    relay_.onConnectionOpened(Clock::now(), connection);
    flush();
}

void EntryRuntime::onConnectionClosed(ConnectionId connection)
{
    relay_.onConnectionClosed(Clock::now(), connection);
    flush();
}

void EntryRuntime::onBackendResponse(const BackendStatementResponse &backendResponse)
{
    relay_.onBackendResponse(Clock::now(), backendResponse);
    flush();
}

void EntryRuntime::onReplicaPoint(const BackendId &backend, std::optional<LogPoint> point)
{
    relay_.onBackendPosition(Clock::now(), backend, point);
    flush();
}

void EntryRuntime::onBackendAnnounced(const BackendAnnouncement &announcement)
{
    if (relay_.configVersion() > 0) {
        const auto service = configuration_.services.find(announcement.group.service);
        if (service == configuration_.services.end() || !service->second.hasGroup(announcement.group.group)) {
            counters_.add("announcements.refused.not-configured");
            return;
        }
    }
    hooks_.disseminateAnnouncement(announcement);
}

void EntryRuntime::drain()
{
    relay_.drain(Clock::now());
    flush();
}

bool EntryRuntime::isIdle() const
{
    return relay_.isIdle();
}

void EntryRuntime::flush()
{
    for (RelayAction &action : relay_.takeActions()) {
        if (auto *response = std::get_if<RespondToCaller>(&action); response != nullptr) {
            hooks_.sendCallerResponse(std::move(*response));
        } else if (auto *send = std::get_if<SendToPeer>(&action); send != nullptr) {
            hooks_.sendToPeer(send->to, std::move(send->payload));
        } else {
            hooks_.performBackendAction(std::move(action));
        }
    }
}

json::object EntryRuntime::status() const
{
    const Instant now = Clock::now();
    json::array groups;
    for (const GroupTerm &term : relay_.lease().table.terms) {
        groups.emplace_back(json::object { { "service", term.group.service.value }, { "group", term.group.group.value },
            { "primary", term.primary.value }, { "term", term.term }, { "start_position", term.startPosition } });
    }
    json::array backends;
    for (const BackendState *state : relay_.backends().all()) {
        const HomeGrant *grant = relay_.lease().findGrant(state->announcement.id);
        const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(
            relay_.backends().staleness(now, state->announcement.id));
        backends.emplace_back(json::object { { "id", state->announcement.id.value },
            { "service", state->announcement.group.service.value }, { "group", state->announcement.group.group.value },
            { "zone", state->announcement.zone.value },
            { "role", state->announcement.role == BackendRole::Primary ? "primary" : "replica" },
            { "term", state->point.term }, { "position", state->point.position }, { "lag_ms", lag.count() },
            { "leaving", state->announcement.isLeaving }, { "home", grant == nullptr ? "" : grant->entry.value } });
    }
    return { { "vm", settings_.id.value }, { "zone", settings_.zone.value },
        { "lease_live", relay_.lease().isValidAt(now) }, { "config_version", relay_.configVersion() },
        { "groups", std::move(groups) }, { "backends", std::move(backends) } };
}

} // namespace daisyrelay
