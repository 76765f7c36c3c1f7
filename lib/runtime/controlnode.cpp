#include "controlnode.h"

#include <algorithm>

namespace daisyrelay {

using ErrorCode = boost::system::error_code;

static constexpr Duration TickInterval = std::chrono::milliseconds(15);
/// Callers move on after a second.
static constexpr Duration ForwardTimeout = std::chrono::milliseconds(850);
/// Until another control VM leads and entries have found it.
static constexpr Duration DrainTime = std::chrono::milliseconds(1500);
static constexpr std::size_t MostRequests = 4096;

ControlNode::ControlNode(NodeContext &context)
    : context_(context)
    , supervisor_(context.log, context.metrics, drawRandomNumber())
    , mesh_(context.io, context.settings.id, context.settings.peerPort, context.settings.reachedAt,
          [this](const VmId &from, ClusterPayload payload) { onPeer(from, std::move(payload)); })
    , probes_(context.io, context.platform,
          [this](const ProbeOutcome &outcome) {
              const Instant now = Clock::now();
              supervisor_.onProbe(now, outcome);
              settle(now);
          })
    , timer_(context.io)
{
}

RaftOptions ControlNode::raftOptions() const
{
    RaftOptions options;
    options.self = context_.settings.id;
    options.zone = context_.settings.zone;
    options.controlVms = context_.settings.seeds;
    options.seed = drawRandomNumber();
    options.canBootstrap = context_.settings.founding;
    options.isMembershipOpen = true;
    options.maxVoters = 2 * std::size_t { context_.settings.tolerated } + 1;
    return options;
}

Expected<void> ControlNode::start()
{
    RaftDriver::Hooks hooks;
    hooks.send = [this](const RaftMessage &message) { mesh_.send(message.to, message); };
    hooks.apply = [this](const LogEntry &entry) { supervisor_.onCommitted(Clock::now(), entry); };
    hooks.restore = [this](std::string_view bytes) { return supervisor_.restore(bytes); };
    hooks.snapshot = [this]() { return supervisor_.snapshot(); };
    Expected<std::unique_ptr<RaftDriver>> driver
        = RaftDriver::open(context_.settings.dataFolder, raftOptions(), counters_, std::move(hooks));
    if (!driver) {
        return tl::unexpected(driver.error());
    }
    raft_ = std::move(*driver);
    if (Expected<void> listening = mesh_.listen(); !listening) {
        return listening;
    }
    api_ = std::make_unique<HttpServer>(context_.io, HttpServerOptions {},
        [this](const HttpRequest &request, const HttpReply &reply) { serve(request, reply); });
    if (Expected<void> listening = api_->listen(context_.settings.controlApi); !listening) {
        return listening;
    }
    tick();
    return {};
}

void ControlNode::settingsChanged()
{
}

void ControlNode::drain()
{
    const Instant now = Clock::now();
    if (drainSince_) {
        return;
    }
    drainSince_ = now;
    context_.log.log(now, "drain.begin", { { "leads", leads(now) } });
    raft_->core().prepareToLeave(now);
    settle(now);
}

void ControlNode::serve(const HttpRequest &request, const HttpReply &reply)
{
    std::variant<ControlRequest, HttpResponse> decoded = context_.platform.decodeControl(request);
    if (auto *response = std::get_if<HttpResponse>(&decoded); response != nullptr) {
        if (response->status >= 400) {
            context_.metrics.add("control_requests_malformed_total");
            context_.log.log(Clock::now(), "control.refused",
                { { "target", std::string_view(request.target) }, { "status", std::int64_t { response->status } },
                    { "detail", std::string_view(response->body) } });
        }
        reply(std::move(*response));
        return;
    }
    ControlRequest controlRequest = std::get<ControlRequest>(std::move(decoded));
    handle(controlRequest, [this, controlRequest, reply](const ControlResult &result) {
        reply(context_.platform.encodeControl(controlRequest, result, context_.settings.controlPort));
    });
}

void ControlNode::handle(ControlRequest request, std::function<void(ControlResult result)> done)
{
    const Instant now = Clock::now();
    if (requests_.size() >= MostRequests) {
        done({});
        return;
    }
    const std::uint64_t id = nextRequest_++;
    if (leads(now)) {
        requests_[id] = { {}, std::move(done), now + 2 * ForwardTimeout };
        supervisor_.onLeadership(now, true, raft_->core().term(), controlVms());
        supervisor_.onRequest(now, id, request);
        settle(now);
        return;
    }
    const std::optional<VmId> leader = raft_->core().leader();
    if (!leader || *leader == context_.settings.id) {
        done({});
        return;
    }
    requests_[id] = { request, std::move(done), now + ForwardTimeout };
    mesh_.send(*leader, ForwardedControl { id, std::move(request) });
}

void ControlNode::finishRequest(std::uint64_t id, ControlResult result)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const std::function<void(ControlResult)> done = std::move(found->second.done);
    requests_.erase(found);
    if (result.leader.empty()) {
        result.leader = raft_->core().leader().value_or(VmId {});
    }
    done(std::move(result));
}

void ControlNode::onPeer(const VmId &from, ClusterPayload payload)
{
    const Instant now = Clock::now();
    if (auto *message = std::get_if<RaftMessage>(&payload); message != nullptr) {
        if (message->from == from) {
            raft_->core().receive(now, *message);
            settle(now);
        }
    } else if (auto *report = std::get_if<EntryReport>(&payload); report != nullptr) {
        if (!leads(now)) {
            mesh_.send(from, LeaderHint { raft_->core().leader().value_or(VmId {}), controlVms() });
            return;
        }
        supervisor_.onLeadership(now, true, raft_->core().term(), controlVms());
        supervisor_.onReport(now, from, *report);
        settle(now);
    } else if (auto *forwarded = std::get_if<ForwardedControl>(&payload); forwarded != nullptr) {
        const std::uint64_t id = forwarded->id;
        if (!leads(now)) {
            mesh_.send(from, ForwardedResult { id, {} });
            return;
        }
        handle(std::move(forwarded->request), [this, from, id](ControlResult result) {
            mesh_.send(from, ForwardedResult { id, std::move(result) });
        });
    } else if (auto *result = std::get_if<ForwardedResult>(&payload); result != nullptr) {
        finishRequest(result->id, std::move(result->result));
    }
}

bool ControlNode::leads(Instant now) const
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
    raft_->core().tick(now);
    settle(now);
    supervisor_.tick(now);
    settle(now);
    probes_.tick(now);
    std::vector<std::uint64_t> overdue;
    for (const auto &[id, request] : requests_) {
        if (now > request.until) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        finishRequest(id, {});
    }
    context_.lines->writeOut();
    if (drainSince_ && now - *drainSince_ > DrainTime) {
        probes_.closeAll();
        context_.finish(0);
        return;
    }
    scheduleTick();
}

void ControlNode::settle(Instant now)
{
    if (settling_) {
        return;
    }
    settling_ = true;
    for (;;) {
        raft_->flush();
        logMembers(now);
        supervisor_.onLeadership(now, leads(now), raft_->core().term(), controlVms());
        std::vector<SupervisionAction> actions = supervisor_.takeActions();
        if (actions.empty()) {
            break;
        }
        for (SupervisionAction &action : actions) {
            perform(now, std::move(action));
        }
    }
    settling_ = false;
}

void ControlNode::logMembers(Instant now)
{
    const RaftCore &core = raft_->core();
    const std::uint64_t index = core.log().membershipIndex();
    if (index == loggedMembers_ && core.leader() == loggedLeader_) {
        return;
    }
    loggedMembers_ = index;
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

void ControlNode::perform(Instant now, SupervisionAction action)
{
    if (auto *propose = std::get_if<ProposeSupervision>(&action); propose != nullptr) {
        raft_->core().propose(now, encodeSupervisionCommand(propose->command));
    } else if (auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
        mesh_.send(update->entry, std::move(update->update));
    } else if (auto *answer = std::get_if<AnswerControl>(&action); answer != nullptr) {
        answer->result.leader = context_.settings.id;
        finishRequest(answer->requestId, std::move(answer->result));
    } else if (auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
        probes_.ask(*probe);
    } else if (auto *promotion = std::get_if<PromoteThroughPlatform>(&action); promotion != nullptr) {
        promote(*promotion);
    }
}

void ControlNode::promote(const PromoteThroughPlatform &promotion)
{
    auto connection = std::make_shared<HttpConnection>(context_.io);
    const auto done = [this, promotion](const std::optional<HttpResponse> &response) {
        const Instant now = Clock::now();
        supervisor_.onPromotion(
            now, promotion.service, promotion.fencingToken, context_.platform.decodePromotion(response));
        settle(now);
    };
    connection->connect(context_.settings.platform, promotion.timeout, [this, connection, promotion, done](bool open) {
        if (!open) {
            done(std::nullopt);
            return;
        }
        const HttpRequest request = context_.platform.encodePromotion(promotion, context_.settings.name);
        connection->request(request, promotion.timeout,
            [connection, done](const std::optional<HttpResponse> &response) { done(response); });
    });
}

} // namespace daisyrelay
