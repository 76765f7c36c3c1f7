#include "entrynode.h"

#include <algorithm>

namespace daisyrelay {

using ErrorCode = boost::system::error_code;

static constexpr Duration BusyTick = std::chrono::milliseconds(10);
static constexpr Duration QuietTick = std::chrono::milliseconds(50);
static constexpr Duration FirstReportInterval = std::chrono::milliseconds(100);
/// A leader that does not answer for longer may not be one any more; two elections fit into it.
static constexpr Duration ControlSilence = std::chrono::milliseconds(600);
static constexpr Duration PeerInterval = std::chrono::milliseconds(300);
static constexpr Duration ControlRotation = std::chrono::milliseconds(150);
static constexpr Duration SettingsInterval = std::chrono::seconds(2);

EntryNode::EntryNode(NodeContext &context)
    : context_(context)
    , run_(drawRandomNumber())
    , core_(context.settings.zone, context.log, context.metrics, run_)
    , callers_(context.io, context.platform, callerHooks())
    , backends_(context.io, context.platform, backendHooks())
    , mesh_(context.io, context.settings.id, context.settings.peerPort, context.settings.endpointOverrides,
          [this](const VmId &from, ClusterPayload payload) { onPeer(from, std::move(payload)); })
    , timer_(context.io)
    , controlVms_(context.settings.seeds)
    , reportInterval_(FirstReportInterval)
{
}

CallerLinks::Hooks EntryNode::callerHooks()
{
    CallerLinks::Hooks hooks;
    hooks.onOpened = [this](SessionId session, const std::string &database) {
        core_.onSessionOpened(Clock::now(), session, database);
        perform();
    };
    hooks.onStatement = [this](SessionId session, Statement statement) {
        core_.onStatement(Clock::now(), session, std::move(statement));
        perform();
    };
    hooks.onClosed = [this](SessionId session) {
        core_.onSessionClosed(Clock::now(), session);
        perform();
    };
    hooks.onMalformed = [this](std::string_view reason) {
        context_.metrics.add("messages_malformed_total");
        context_.log.log(Clock::now(), "session.malformed", { { "reason", reason } });
    };
    return hooks;
}

BackendLinks::Hooks EntryNode::backendHooks()
{
    BackendLinks::Hooks hooks;
    hooks.onOpened = [this](ConnectionId connection, std::optional<LogPoint> /*position*/) {
        core_.onConnectionOpened(Clock::now(), connection);
        perform();
    };
    hooks.onLost = [this](ConnectionId connection, ConnectionLoss loss) {
        core_.onConnectionLost(Clock::now(), connection, loss);
        perform();
    };
    hooks.onExchange = [this](ConnectionId connection, std::vector<BackendResponse> answers) {
        core_.onExchange(Clock::now(), connection, std::move(answers));
        perform();
    };
    return hooks;
}

Expected<void> EntryNode::start()
{
    if (Expected<void> listening = callers_.listen(context_.settings.callers); !listening) {
        return listening;
    }
    if (Expected<void> listening = mesh_.listen(); !listening) {
        return listening;
    }
    health_ = std::make_unique<HttpServer>(context_.io, HttpServerOptions {},
        [this](const HttpRequest &request, const HttpReply &reply) { serveHealth(request, reply); });
    if (Expected<void> listening = health_->listen(context_.settings.health); !listening) {
        return listening;
    }
    settingsReadAt_ = Clock::now();
    scheduleTick();
    return {};
}

void EntryNode::serveHealth(const HttpRequest &request, const HttpReply &reply)
{
    HttpResponse response;
    const bool known = context_.platform.isHealthCheck(request);
    response.status = !known ? 404 : (core_.isReady() ? 200 : 503);
    response.body = "{}";
    reply(std::move(response));
}

void EntryNode::settingsChanged()
{
    for (const VmId &seed : context_.settings.seeds) {
        if (std::find(controlVms_.begin(), controlVms_.end(), seed) == controlVms_.end()) {
            controlVms_.push_back(seed);
        }
    }
}

void EntryNode::drain()
{
    draining_ = true;
    core_.drain(Clock::now(), context_.settings.shutdownGrace);
    report(Clock::now());
    tick();
}

void EntryNode::perform()
{
    if (performing_) {
        return;
    }
    performing_ = true;
    for (std::vector<ProxyAction> actions = core_.takeActions(); !actions.empty(); actions = core_.takeActions()) {
        for (ProxyAction &action : actions) {
            if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                callers_.answer(send->session, send->response);
            } else if (auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                backends_.run(*exchange);
            } else if (auto *greet = std::get_if<AcceptSession>(&action); greet != nullptr) {
                callers_.greet(greet->session);
            } else if (auto *reject = std::get_if<RejectSession>(&action); reject != nullptr) {
                callers_.reject(reject->session, reject->code, reject->detail);
            } else if (auto *close = std::get_if<CloseSession>(&action); close != nullptr) {
                callers_.close(close->session);
            } else if (auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                backends_.open(*open);
            } else if (auto *end = std::get_if<CloseBackendConnection>(&action); end != nullptr) {
                backends_.close(end->connection);
            } else if (auto *guest = std::get_if<SendToEntry>(&action); guest != nullptr) {
                std::visit([&](auto &message) { mesh_.send(guest->to, std::move(message)); }, guest->message);
            }
        }
    }
    performing_ = false;
}

void EntryNode::scheduleTick()
{
    timer_.expires_after(core_.isBusy() ? BusyTick : QuietTick);
    timer_.async_wait([this](const ErrorCode &error) {
        if (!error) {
            tick();
        }
    });
}

void EntryNode::tick()
{
    const Instant now = Clock::now();
    core_.tick(now);
    perform();
    chooseControl(now);
    if (now - reportedAt_ >= reportInterval_) {
        report(now);
    }
    context_.lines->writeOut();
    if (core_.isDrained(now)) {
        callers_.stopListening();
        context_.finish(0);
        return;
    }
    scheduleTick();
}

void EntryNode::chooseControl(Instant now)
{
    // A leader answers each report at once.
    const bool answering = !unansweredSince_ || now - *unansweredSince_ < ControlSilence;
    if ((knowsLeader_ && answering) || now - triedAt_ < ControlRotation || controlVms_.empty()) {
        return;
    }
    if (knowsLeader_) {
        context_.log.log(
            now, "control.lost", { { "control", std::string_view(control_.value) }, { "silent_ms", now - heardAt_ } });
        knowsLeader_ = false;
        mesh_.reset(control_);
    }
    triedAt_ = now;
    askPeers(now);
    control_ = controlVms_[nextControl_++ % controlVms_.size()];
    report(now);
    if (now - settingsReadAt_ > SettingsInterval) {
        settingsReadAt_ = now;
        context_.settingsNeeded();
    }
}

// Another entry may know the next primary while no control VM can be reached from here.
void EntryNode::askPeers(Instant now)
{
    if (peers_.empty() || now - askedPeersAt_ < PeerInterval) {
        return;
    }
    askedPeersAt_ = now;
    EntryReport report;
    core_.fillReport(now, report);
    mesh_.send(peers_[nextPeer_++ % peers_.size()], std::move(report));
}

void EntryNode::report(Instant now)
{
    if (control_.empty()) {
        return;
    }
    reportedAt_ = now;
    unansweredSince_ = unansweredSince_.value_or(now);
    EntryReport report;
    report.name = context_.settings.name;
    report.run = run_;
    report.sequence = ++sequence_;
    core_.fillReport(now, report);
    mesh_.send(control_, std::move(report));
}

void EntryNode::onPeer(const VmId &from, ClusterPayload payload)
{
    const Instant now = Clock::now();
    if (const auto *request = std::get_if<ForwardedStatement>(&payload); request != nullptr) {
        core_.onForwardedStatement(now, from, *request);
        perform();
    } else if (const auto *answer = std::get_if<ForwardedStatementResponse>(&payload); answer != nullptr) {
        core_.onForwardedStatementResponse(now, from, *answer);
        perform();
    } else if (const auto *end = std::get_if<ForwardedSessionEnd>(&payload); end != nullptr) {
        core_.onForwardedSessionEnd(now, from, *end);
        perform();
    } else if (const auto *asked = std::get_if<PositionRequest>(&payload); asked != nullptr) {
        core_.onPositionRequest(now, from, *asked);
        perform();
    } else if (const auto *position = std::get_if<PositionResponse>(&payload); position != nullptr) {
        core_.onPositionResponse(now, from, *position);
        perform();
    } else if (const auto *question = std::get_if<EntryReport>(&payload); question != nullptr) {
        mesh_.send(from, core_.makeUpdateFor(*question));
    } else if (const auto *update = std::get_if<EntryUpdate>(&payload); update != nullptr) {
        // Only a leader of the control VMs has a term.
        if (update->leaderTerm == 0) {
            core_.onPeerUpdate(now, *update);
            perform();
        } else {
            onUpdate(from, *update);
        }
    } else if (const auto *hint = std::get_if<LeaderHint>(&payload); hint != nullptr) {
        if (!hint->leader.empty() && hint->leader != control_) {
            control_ = hint->leader;
            triedAt_ = now;
            report(now);
        }
    }
}

void EntryNode::onUpdate(const VmId &from, const EntryUpdate &update)
{
    const Instant now = Clock::now();
    if (update.leaderTerm < leaderTerm_) {
        return;
    }
    leaderTerm_ = update.leaderTerm;
    if (!knowsLeader_ || control_ != from) {
        context_.log.log(
            now, "control.found", { { "control", std::string_view(from.value) }, { "term", update.leaderTerm } });
    }
    knowsLeader_ = true;
    control_ = from;
    heardAt_ = now;
    unansweredSince_.reset();
    reportInterval_ = std::chrono::milliseconds(std::max(update.reportIntervalMs, 50U));
    if (!update.peers.empty()) {
        peers_ = update.peers;
    }
    if (!update.controlVms.empty()) {
        controlVms_ = update.controlVms;
    }
    core_.onControlUpdate(now, update);
    perform();
    if (update.configuration || update.topology || !update.quotas.empty()) {
        report(now);
    }
}

} // namespace daisyrelay
