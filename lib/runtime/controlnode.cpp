#include "controlnode.h"

#include <algorithm>

#include <sys/resource.h>

namespace daisyrelay {

using ErrorCode = boost::system::error_code;

static constexpr Duration TickInterval = std::chrono::milliseconds(15);
/// Timeout of a forwarded control request; must be below one second, after which the senders of control requests give
/// up.
static constexpr Duration ForwardTimeout = std::chrono::milliseconds(850);
/// How long a draining control VM keeps running, so that another one can become the leader and the entries can find it.
static constexpr Duration DrainDuration = std::chrono::milliseconds(1500);
static constexpr std::size_t MaxPendingRequests = 4096;
/// A heartbeat that would wait longer for the leader is refused, so that its sender can try another control VM within
/// the second that it waits.
static constexpr Duration MaxHeartbeatWait = std::chrono::milliseconds(700);

/// Returns how many connections the control API accepts: half of the descriptors of the process, so that the other half
/// is left for entries, control VMs, probes and files.
static std::size_t maxApiConnections()
{
    rlimit limit {};
    constexpr std::size_t Fallback = 1024;
    constexpr std::size_t Unlimited = 100000;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return Fallback / 2;
    }
    return std::min<std::size_t>(limit.rlim_cur, Unlimited) / 2;
}

ControlNode::ControlNode(NodeContext &context)
    : context_(context)
    , supervisor_(context.log, context.metrics, drawRandomNumber(), {}, context.settings.fencing)
    , heartbeats_(context.metrics, drawRandomNumber())
    , peers_(
          context.io, context.settings.id, context.settings.peerPort, context.settings.endpointOverrides, peerHooks())
    , probes_(context.io, context.platform,
          [this](const ProbeOutcome &outcome) {
              const Instant now = Clock::now();
              supervisor_.onProbe(now, outcome);
              runPendingActions(now);
          })
    , timer_(context.io)
    , heartbeatGate_(MaxHeartbeatWait)
{
}

PeerTransport::Hooks ControlNode::peerHooks()
{
    PeerTransport::Hooks hooks = countingPeerHooks(context_);
    hooks.onMessage = [this](const VmId &from, ClusterPayload payload) { onPeerMessage(from, std::move(payload)); };
    hooks.onPeerFormat = [this](const VmId &peer, const std::optional<FormatRange> &range) {
        supervisor_.recordPeerFormat(peer, range);
    };
    return hooks;
}

bool ControlNode::applyCommitted(const LogEntry &entry)
{
    const FormatVersion formerFormat = supervisor_.state().activeFormat();
    if (const Expected<void> applied = supervisor_.onCommitted(Clock::now(), entry); !applied) {
        stopUnreadable(applied.error().detail);
        return false;
    }
    if (supervisor_.state().activeFormat() != formerFormat) {
        // Earlier builds refuse to start from a snapshot of this version, so that none takes part with a state that it
        // cannot read.
        raft_->core().requestSnapshot();
    }
    return true;
}

void ControlNode::stopUnreadable(const std::string &detail)
{
    if (std::exchange(isStopped_, true)) {
        return;
    }
    constexpr int ExitUnreadable = 1;
    context_.log.log(Clock::now(), "node.failed", { { "error", std::string_view(detail) } });
    context_.finishRole(ExitUnreadable);
}

RaftOptions ControlNode::raftOptions() const
{
    RaftOptions options;
    options.self = context_.settings.id;
    options.zone = context_.settings.zone;
    options.controlVms = context_.settings.seeds;
    options.seed = drawRandomNumber();
    options.canBootstrap = context_.settings.canBootstrap;
    options.isMembershipOpen = true;
    options.maxVoters = 2 * std::size_t { context_.settings.toleratedFailures } + 1;
    return options;
}

Expected<void> ControlNode::start()
{
    RaftDriver::Hooks hooks;
    hooks.send = [this](const RaftMessage &message) { peers_.send(message.to, message); };
    hooks.apply = [this](const LogEntry &entry) { return applyCommitted(entry); };
    hooks.onUnreadableSnapshot = [this](const std::string &detail) { stopUnreadable(detail); };
    hooks.restore = [this](std::string_view bytes) { return supervisor_.restore(bytes); };
    hooks.snapshot = [this]() { return supervisor_.snapshot(); };
    Expected<std::unique_ptr<RaftDriver>> driver
        = RaftDriver::open(context_.settings.dataFolder, raftOptions(), counters_, std::move(hooks));
    if (!driver) {
        return tl::unexpected(driver.error());
    }
    raft_ = std::move(*driver);
    supervisor_.setRestoredIndex(raft_->core().log().lastIndex());
    supervisor_.recordPeerFormat(context_.settings.id, FormatRange {});
    if (Expected<void> listening = peers_.listen(); !listening) {
        return listening;
    }
    HttpServerOptions options;
    options.maxConnections = maxApiConnections();
    apiServer_ = std::make_unique<HttpServer>(context_.io, std::move(options),
        [this](const HttpRequest &request, const auto &respond) { handleHttpRequest(request, respond); });
    if (Expected<void> listening = apiServer_->listen(context_.settings.controlApi); !listening) {
        return listening;
    }
    tick();
    return {};
}

void ControlNode::onSettingsChanged()
{
}

void ControlNode::drain()
{
    const Instant now = Clock::now();
    if (drainStartedAt_) {
        return;
    }
    drainStartedAt_ = now;
    context_.log.log(now, "drain.begin", { { "leads", isLeader(now) } });
    raft_->core().prepareToLeave(now);
    runPendingActions(now);
}

void ControlNode::handleHttpRequest(const HttpRequest &request, const HttpResponseCallback &respond)
{
    std::variant<ControlRequest, HttpResponse> decoded = context_.platform.decodeControlRequest(request);
    if (auto *response = std::get_if<HttpResponse>(&decoded); response != nullptr) {
        if (response->status >= 400) {
            context_.metrics.add("control_requests_malformed_total");
            context_.log.log(Clock::now(), "control.refused",
                { { "target", std::string_view(request.target) }, { "status", std::int64_t { response->status } },
                    { "detail", std::string_view(response->body) } });
        }
        respond(std::move(*response));
        return;
    }
    ControlRequest controlRequest = std::get<ControlRequest>(std::move(decoded));
    handleControlRequest(controlRequest, [this, controlRequest, respond](const ControlResult &result) {
        respond(context_.platform.encodeControlResponse(controlRequest, result, context_.settings.controlPort));
    });
}

void ControlNode::handleControlRequest(ControlRequest request, std::function<void(ControlResult result)> onResult)
{
    const Instant now = Clock::now();
    if (isStopped_ || pendingRequests_.size() >= MaxPendingRequests) {
        onResult({});
        return;
    }
    const auto *heartbeat = std::get_if<BackendHeartbeat>(&request);
    const std::optional<BackendId> heartbeatOf
        = heartbeat == nullptr ? std::nullopt : std::optional(heartbeat->record.id);
    const std::uint64_t id = nextRequestId_++;
    if (isLeader(now)) {
        if (heartbeat != nullptr && !heartbeatGate_.admit(now)) {
            refuseHeartbeat(onResult);
            return;
        }
        pendingRequests_[id] = { heartbeatOf, std::move(onResult), now + 2 * ForwardTimeout };
        supervisor_.onLeadership(now, true, raft_->core().term(), controlVms());
        supervisor_.onRequest(now, id, request);
        runPendingActions(now);
        return;
    }
    if (heartbeat != nullptr && heartbeats_.accept(now, supervisor_.state(), *heartbeat)) {
        onResult({ ControlStatus::Done, {}, heartbeatVmOf(now, *heartbeatOf) });
        return;
    }
    const std::optional<VmId> leader = raft_->core().leader();
    if (!leader || *leader == context_.settings.id) {
        onResult({});
        return;
    }
    if (heartbeat != nullptr && !heartbeatGate_.admit(now)) {
        refuseHeartbeat(onResult);
        return;
    }
    pendingRequests_[id] = { heartbeatOf, std::move(onResult), now + ForwardTimeout };
    peers_.send(*leader, ForwardedControlRequest { id, std::move(request) });
}

void ControlNode::refuseHeartbeat(const std::function<void(ControlResult result)> &onResult)
{
    context_.metrics.add("heartbeats_refused_total");
    onResult({});
}

void ControlNode::finishRequest(std::uint64_t id, ControlResult result)
{
    const auto found = pendingRequests_.find(id);
    if (found == pendingRequests_.end()) {
        return;
    }
    const std::function<void(ControlResult)> onResult = std::move(found->second.onResult);
    if (found->second.heartbeatOf) {
        const Instant now = Clock::now();
        heartbeatGate_.finish(now);
        if (result.heartbeatVm.empty()) {
            result.heartbeatVm = heartbeatVmOf(now, *found->second.heartbeatOf);
        }
    }
    pendingRequests_.erase(found);
    onResult(std::move(result));
}

VmId ControlNode::heartbeatVmOf(Instant now, const BackendId &backend) const
{
    const std::size_t servers = supervisor_.state().backends().size();
    if (!isLeader(now)) {
        return chooseHeartbeatVm(
            backend, servers, raft_->core().leader().value_or(VmId {}), heartbeats_.heartbeatVms());
    }
    std::vector<VmId> vms = supervisor_.heartbeatVms(now);
    if (!drainStartedAt_) {
        vms.push_back(context_.settings.id);
    }
    return chooseHeartbeatVm(backend, servers, context_.settings.id, vms);
}

void ControlNode::sendHeartbeatDigest(Instant now)
{
    const std::optional<VmId> leader = raft_->core().leader();
    if (!leader || *leader == context_.settings.id) {
        return;
    }
    if (std::optional<HeartbeatDigest> digest
        = heartbeats_.takeDigest(now, *leader, raft_->core().term(), drainStartedAt_.has_value())) {
        peers_.send(*leader, std::move(*digest));
    }
}

void ControlNode::onPeerMessage(const VmId &from, ClusterPayload payload)
{
    const Instant now = Clock::now();
    if (isStopped_) {
        return;
    }
    if (auto *message = std::get_if<RaftMessage>(&payload); message != nullptr) {
        if (!supervisor_.supportsActiveFormat(from)) {
            context_.metrics.add(R"(peer_messages_refused_total{reason="format"})");
            context_.log.log(now, "peer.refused",
                { { "peer", std::string_view(from.value) },
                    { "active", std::uint64_t { supervisor_.state().activeFormat() } } });
        } else if (message->from == from) {
            raft_->core().receive(now, *message);
            runPendingActions(now);
        }
    } else if (auto *report = std::get_if<EntryReport>(&payload); report != nullptr) {
        if (!isLeader(now)) {
            peers_.send(from, LeaderHint { raft_->core().leader().value_or(VmId {}), controlVms() });
            return;
        }
        supervisor_.onLeadership(now, true, raft_->core().term(), controlVms());
        supervisor_.onReport(now, from, *report);
        runPendingActions(now);
    } else if (auto *forwarded = std::get_if<ForwardedControlRequest>(&payload); forwarded != nullptr) {
        const std::uint64_t id = forwarded->id;
        if (!isLeader(now)) {
            peers_.send(from, ForwardedControlResponse { id, {} });
            return;
        }
        handleControlRequest(std::move(forwarded->request), [this, from, id](ControlResult result) {
            peers_.send(from, ForwardedControlResponse { id, std::move(result) });
        });
    } else if (auto *result = std::get_if<ForwardedControlResponse>(&payload); result != nullptr) {
        finishRequest(result->id, std::move(result->result));
    } else if (auto *digest = std::get_if<HeartbeatDigest>(&payload); digest != nullptr) {
        if (!isLeader(now)) {
            context_.metrics.add(R"(heartbeat_digests_ignored_total{reason="not-leader"})");
            return;
        }
        supervisor_.onLeadership(now, true, raft_->core().term(), controlVms());
        if (std::optional<HeartbeatDigestResponse> response = supervisor_.onHeartbeatDigest(now, from, *digest)) {
            if (!drainStartedAt_) {
                response->heartbeatVms.push_back(context_.settings.id);
            }
            peers_.send(from, std::move(*response));
        }
    } else if (auto *acknowledged = std::get_if<HeartbeatDigestResponse>(&payload); acknowledged != nullptr) {
        heartbeats_.onResponse(from, *acknowledged);
    }
}

bool ControlNode::isLeader(Instant now) const
{
    return raft_->core().isConfirmedLeader(now);
}

std::vector<VmId> ControlNode::controlVms() const
{
    std::vector<VmId> vms;
    for (const Member &member : raft_->core().log().membership().members) {
        vms.push_back(member.vm);
    }
    return vms;
}

void ControlNode::scheduleTick()
{
    nextTickAt_ = Clock::now() + TickInterval;
    timer_.expires_after(TickInterval);
    timer_.async_wait([this](const ErrorCode &error) {
        if (!error) {
            tick();
        }
    });
}

void ControlNode::tick()
{
    const Instant now = Clock::now();
    if (isStopped_) {
        return;
    }
    heartbeatGate_.setLoopDelay(nextTickAt_ ? now - *nextTickAt_ : Duration::zero());
    raft_->core().tick(now);
    runPendingActions(now);
    supervisor_.tick(now);
    runPendingActions(now);
    sendHeartbeatDigest(now);
    probes_.tick(now);
    std::vector<std::uint64_t> overdue;
    for (const auto &[id, request] : pendingRequests_) {
        if (now > request.deadline) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        finishRequest(id, {});
    }
    context_.logSink->writePending();
    if (drainStartedAt_ && now - *drainStartedAt_ > DrainDuration) {
        probes_.closeAll();
        context_.finishRole(0);
        return;
    }
    scheduleTick();
}

void ControlNode::runPendingActions(Instant now)
{
    if (isRunningActions_ || isStopped_) {
        return;
    }
    isRunningActions_ = true;
    for (;;) {
        raft_->flush();
        if (isStopped_) {
            break;
        }
        logMembership(now);
        supervisor_.onLeadership(now, isLeader(now), raft_->core().term(), controlVms());
        std::vector<SupervisionAction> actions = supervisor_.takeActions();
        if (actions.empty()) {
            break;
        }
        for (SupervisionAction &action : actions) {
            performAction(now, std::move(action));
        }
    }
    isRunningActions_ = false;
}

void ControlNode::logMembership(Instant now)
{
    const RaftCore &core = raft_->core();
    const std::uint64_t index = core.log().membershipIndex();
    if (index == loggedMembershipIndex_ && core.leader() == loggedLeader_) {
        return;
    }
    loggedMembershipIndex_ = index;
    loggedLeader_ = core.leader();
    std::string members;
    for (const Member &member : core.log().membership().members) {
        members += (members.empty() ? "" : ",") + member.vm.value + (member.isVoter ? "" : "/learner");
    }
    context_.log.log(now, "control.members",
        { { "members", std::string_view(members) }, { "index", index }, { "commit", core.commitIndex() },
            { "term", core.term() }, { "leader", std::string_view(loggedLeader_ ? loggedLeader_->value : "") },
            { "voter", core.isVoter() } });
}

void ControlNode::performAction(Instant now, SupervisionAction action)
{
    if (auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
        raft_->core().propose(now, encodeSupervisionCommand(proposal->command));
    } else if (auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
        peers_.send(update->entry, std::move(update->update));
    } else if (auto *response = std::get_if<SendControlResponse>(&action); response != nullptr) {
        finishRequest(response->requestId, std::move(response->result));
    } else if (auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
        probes_.startProbe(*probe);
    } else if (auto *promotion = std::get_if<PromoteThroughPlatform>(&action); promotion != nullptr) {
        requestPromotion(*promotion);
    }
}

void ControlNode::requestPromotion(const PromoteThroughPlatform &promotion)
{
    auto connection = std::make_shared<HttpConnection>(context_.io);
    const auto onResult = [this, promotion](const std::optional<HttpResponse> &response) {
        const Instant now = Clock::now();
        supervisor_.onPromotion(
            now, promotion.service, promotion.fencingToken, context_.platform.decodePromotionResponse(response));
        runPendingActions(now);
    };
    connection->connect(
        context_.settings.platform, promotion.timeout, [this, connection, promotion, onResult](bool isConnected) {
            if (!isConnected) {
                onResult(std::nullopt);
                return;
            }
            // Another leader may have been elected while this VM was suspended or connecting.
            if (const Instant now = Clock::now(); !isLeader(now) || raft_->core().term() != promotion.leaderTerm) {
                context_.log.log(now, "promotion.abandoned",
                    { { "service", std::string_view(promotion.service.value) }, { "token", promotion.fencingToken } });
                connection->close();
                supervisor_.onPromotion(now, promotion.service, promotion.fencingToken, PromotionOutcome::RateLimited);
                runPendingActions(now);
                return;
            }
            const HttpRequest request = context_.platform.encodePromotionRequest(promotion, context_.settings.name);
            connection->request(request, promotion.timeout,
                [connection, onResult](const std::optional<HttpResponse> &response) { onResult(response); });
        });
}

} // namespace daisyrelay
