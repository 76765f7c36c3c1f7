#include "entrynode.h"

#include <algorithm>

namespace daisyrelay {

using ErrorCode = boost::system::error_code;

static constexpr Duration BusyTickInterval = std::chrono::milliseconds(10);
static constexpr Duration IdleTickInterval = std::chrono::milliseconds(50);
static constexpr Duration InitialReportInterval = std::chrono::milliseconds(100);
/// How long reports may stay unanswered before another control VM is tried; long enough for two elections.
static constexpr Duration LeaderTimeout = std::chrono::milliseconds(600);
static constexpr Duration PeerRequestInterval = std::chrono::milliseconds(300);
static constexpr Duration ControlVmRetryInterval = std::chrono::milliseconds(150);
static constexpr Duration SettingsReloadInterval = std::chrono::seconds(2);
/// How long a drain waits for the first message on connections that were accepted when the listening socket was closed.
static constexpr Duration MaxOpeningTime = std::chrono::milliseconds(100);
/// How long a drain waits until messages to other VMs are sent. A VM that cannot be reached accepts none.
static constexpr Duration MaxPeerFlushTime = std::chrono::milliseconds(500);

EntryNode::EntryNode(NodeContext &context)
    : context_(context)
    , runId_(drawRandomNumber())
    , core_(context.settings.zone, context.log, context.metrics, runId_, {}, context.settings.fencing,
          context.settings.revocationBound,
          { context.settings.rateLimits.window, context.settings.rateLimits.excess, context.settings.rateLimits.slack })
    , callers_(context.io, context.platform, callerHooks())
    , backends_(context.io, context.platform, backendHooks())
    , peers_(
          context.io, context.settings.id, context.settings.peerPort, context.settings.endpointOverrides, peerHooks())
    , timer_(context.io)
    , controlVms_(context.settings.seeds)
    , reportInterval_(InitialReportInterval)
{
    core_.setReadTrace(context.settings.tracesReads);
}

PeerTransport::Hooks EntryNode::peerHooks()
{
    PeerTransport::Hooks hooks = countingPeerHooks(context_);
    hooks.onMessage = [this](const VmId &from, ClusterPayload payload) { onPeerMessage(from, std::move(payload)); };
    hooks.onDisconnected = [this](const VmId &peer) {
        core_.onEntryDisconnected(Clock::now(), peer);
        performActions();
    };
    return hooks;
}

CallerSessions::Hooks EntryNode::callerHooks()
{
    CallerSessions::Hooks hooks;
    hooks.onOpened = [this](SessionId session, const SessionStart &start) {
        core_.onSessionOpened(Clock::now(), session, start.database, start.key);
        performActions();
    };
    hooks.onStatement = [this](SessionId session, Statement statement) {
        core_.onStatement(Clock::now(), session, std::move(statement));
        performActions();
    };
    hooks.onClosed = [this](SessionId session) {
        core_.onSessionClosed(Clock::now(), session);
        performActions();
    };
    hooks.onMalformed = [this](std::string_view reason) {
        context_.metrics.add("messages_malformed_total");
        context_.log.log(Clock::now(), "session.malformed", { { "reason", reason } });
    };
    return hooks;
}

BackendConnections::Hooks EntryNode::backendHooks()
{
    BackendConnections::Hooks hooks;
    hooks.onOpened = [this](ConnectionId connection, std::optional<LogPoint> /*position*/) {
        core_.onConnectionOpened(Clock::now(), connection);
        performActions();
    };
    hooks.onLost = [this](ConnectionId connection, ConnectionLoss loss) {
        core_.onConnectionLost(Clock::now(), connection, loss);
        performActions();
    };
    hooks.onExchange = [this](ConnectionId connection, std::vector<BackendResponse> responses) {
        core_.onExchange(Clock::now(), connection, std::move(responses));
        performActions();
    };
    return hooks;
}

Expected<void> EntryNode::start()
{
    if (Expected<void> listening = callers_.listen(context_.settings.callers); !listening) {
        return listening;
    }
    if (Expected<void> listening = peers_.listen(); !listening) {
        return listening;
    }
    healthServer_ = std::make_unique<HttpServer>(
        context_.io, HttpServerOptions {}, [this](const HttpRequest &request, const HttpResponseCallback &respond) {
            handleHealthRequest(request, respond);
        });
    if (Expected<void> listening = healthServer_->listen(context_.settings.health); !listening) {
        return listening;
    }
    lastSettingsReadAt_ = Clock::now();
    scheduleTick();
    return {};
}

void EntryNode::handleHealthRequest(const HttpRequest &request, const HttpResponseCallback &respond)
{
    HttpResponse response;
    const bool isHealthCheck = context_.platform.isHealthCheck(request);
    response.status = !isHealthCheck ? 404 : (core_.isReady(Clock::now()) ? 200 : 503);
    response.body = "{}";
    respond(std::move(response));
}

void EntryNode::onSettingsChanged()
{
    for (const VmId &seed : context_.settings.seeds) {
        if (std::find(controlVms_.begin(), controlVms_.end(), seed) == controlVms_.end()) {
            controlVms_.push_back(seed);
        }
    }
}

void EntryNode::drain()
{
    core_.drain(Clock::now(), context_.settings.shutdownGrace);
    sendReport(Clock::now());
    tick();
}

void EntryNode::performActions()
{
    if (isPerformingActions_) {
        return;
    }
    isPerformingActions_ = true;
    for (std::vector<ProxyAction> actions = core_.takeActions(); !actions.empty(); actions = core_.takeActions()) {
        for (ProxyAction &action : actions) {
            if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                callers_.sendResponse(send->session, send->response);
            } else if (auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                backends_.runExchange(*exchange);
            } else if (auto *greet = std::get_if<AcceptSession>(&action); greet != nullptr) {
                callers_.sendGreeting(greet->session);
            } else if (auto *reject = std::get_if<RejectSession>(&action); reject != nullptr) {
                callers_.rejectSession(reject->session, reject->code, reject->detail);
            } else if (auto *close = std::get_if<CloseSession>(&action); close != nullptr) {
                callers_.close(close->session);
            } else if (auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                backends_.open(*open);
            } else if (auto *end = std::get_if<CloseBackendConnection>(&action); end != nullptr) {
                backends_.close(end->connection);
            } else if (auto *outgoing = std::get_if<SendToEntry>(&action); outgoing != nullptr) {
                sendToEntry(std::move(*outgoing));
            } else if (std::holds_alternative<SendReportNow>(action)) {
                sendReport(Clock::now());
            }
        }
    }
    isPerformingActions_ = false;
}

void EntryNode::sendToEntry(SendToEntry outgoing)
{
    if (outgoing.to != context_.settings.id) {
        std::visit([&](auto &message) { peers_.send(outgoing.to, std::move(message)); }, outgoing.message);
        return;
    }
    // This entry coordinates rate limits for itself, too.
    if (const auto *request = std::get_if<RateLimitRequest>(&outgoing.message); request != nullptr) {
        core_.onRateLimitRequest(Clock::now(), outgoing.to, *request);
    } else if (const auto *grant = std::get_if<RateLimitGrant>(&outgoing.message); grant != nullptr) {
        core_.onRateLimitGrant(Clock::now(), outgoing.to, *grant);
    } else {
        std::visit([&](auto &message) { peers_.send(outgoing.to, std::move(message)); }, outgoing.message);
    }
}

void EntryNode::scheduleTick()
{
    timer_.expires_after(core_.isBusy() ? BusyTickInterval : IdleTickInterval);
    timer_.async_wait([this](const ErrorCode &error) {
        if (!error) {
            tick();
        }
    });
}

void EntryNode::tick()
{
    if (isFinished_) {
        return;
    }
    const Instant now = Clock::now();
    core_.tick(now);
    performActions();
    selectControlVm(now);
    if (now - lastReportAt_ >= reportInterval_) {
        sendReport(now);
    }
    context_.logSink->writePending();
    if (core_.isDrained(now) && hasEnded(now)) {
        timer_.cancel();
        isFinished_ = true;
        reportDrainEnd(now);
        context_.finishRole(0);
        return;
    }
    scheduleTick();
}

bool EntryNode::hasEnded(Instant now)
{
    if (!stoppedListeningAt_) {
        stoppedListeningAt_ = now;
        callers_.stopListening();
    }
    // The event loop may be late. Statements that have arrived get a response; at the end they do not run any more.
    peers_.readArrivedBytes();
    callers_.readArrivedBytes();
    performActions();
    if (core_.mustEnd(now)) {
        return true;
    }
    const Duration sinceListening = now - *stoppedListeningAt_;
    const CallerSessions::Backlog backlog = callers_.backlog();
    const bool hasNoCallers = backlog.connections == 0 || sinceListening >= MaxOpeningTime;
    const bool hasSentToPeers = peers_.unsentBytes() == 0 || sinceListening >= MaxPeerFlushTime;
    return core_.isDrained(now) && hasNoCallers && hasSentToPeers && backlog.unsentBytes == 0
        && backlog.unreadBytes == 0;
}

void EntryNode::reportDrainEnd(Instant now)
{
    const CallerSessions::Backlog backlog = callers_.backlog();
    core_.reportDrainEnd(now, { backlog.connections, backlog.unsentBytes, backlog.unreadBytes, peers_.unsentBytes() });
}

void EntryNode::selectControlVm(Instant now)
{
    // A leader responds to each report immediately.
    const bool isLeaderResponsive = !unacknowledgedReportSince_ || now - *unacknowledgedReportSince_ < LeaderTimeout;
    if ((hasLeader_ && isLeaderResponsive) || now - lastControlAttemptAt_ < ControlVmRetryInterval
        || controlVms_.empty()) {
        return;
    }
    if (hasLeader_) {
        context_.log.log(now, "control.lost",
            { { "control", std::string_view(controlVm_.value) }, { "silent_ms", now - lastLeaderUpdateAt_ } });
        hasLeader_ = false;
        peers_.reset(controlVm_);
    }
    lastControlAttemptAt_ = now;
    requestPeerUpdate(now);
    controlVm_ = controlVms_[nextControlVm_++ % controlVms_.size()];
    sendReport(now);
    if (now - lastSettingsReadAt_ > SettingsReloadInterval) {
        lastSettingsReadAt_ = now;
        context_.reloadSettings();
    }
}

void EntryNode::requestPeerUpdate(Instant now)
{
    if (peerEntries_.empty() || now - lastPeerRequestAt_ < PeerRequestInterval) {
        return;
    }
    lastPeerRequestAt_ = now;
    EntryReport report;
    core_.fillReport(now, report);
    peers_.send(peerEntries_[nextPeerEntry_++ % peerEntries_.size()], std::move(report));
}

void EntryNode::sendReport(Instant now)
{
    if (controlVm_.empty()) {
        return;
    }
    lastReportAt_ = now;
    unacknowledgedReportSince_ = unacknowledgedReportSince_.value_or(now);
    EntryReport report;
    report.name = context_.settings.name;
    report.runId = runId_;
    report.sequence = ++sequence_;
    core_.fillReport(now, report);
    core_.recordReport(now, report.sequence);
    peers_.send(controlVm_, std::move(report));
}

void EntryNode::onPeerMessage(const VmId &from, ClusterPayload payload)
{
    const Instant now = Clock::now();
    if (const auto *request = std::get_if<ForwardedStatement>(&payload); request != nullptr) {
        core_.onForwardedStatement(now, from, *request);
        performActions();
    } else if (const auto *response = std::get_if<ForwardedStatementResponse>(&payload); response != nullptr) {
        core_.onForwardedStatementResponse(now, from, *response);
        performActions();
    } else if (const auto *end = std::get_if<ForwardedSessionEnd>(&payload); end != nullptr) {
        core_.onForwardedSessionEnd(now, from, *end);
        performActions();
    } else if (const auto *positionRequest = std::get_if<PositionRequest>(&payload); positionRequest != nullptr) {
        core_.onPositionRequest(now, from, *positionRequest);
        performActions();
    } else if (const auto *probe = std::get_if<HomeProbe>(&payload); probe != nullptr) {
        core_.onHomeProbe(from, *probe);
        performActions();
    } else if (const auto *probed = std::get_if<HomeProbeResponse>(&payload); probed != nullptr) {
        core_.onHomeProbeResponse(now, from, *probed);
        performActions();
    } else if (const auto *position = std::get_if<PositionResponse>(&payload); position != nullptr) {
        core_.onPositionResponse(now, from, *position);
        performActions();
    } else if (const auto *limitRequest = std::get_if<RateLimitRequest>(&payload); limitRequest != nullptr) {
        core_.onRateLimitRequest(now, from, *limitRequest);
        performActions();
    } else if (const auto *limitGrant = std::get_if<RateLimitGrant>(&payload); limitGrant != nullptr) {
        core_.onRateLimitGrant(now, from, *limitGrant);
        performActions();
    } else if (const auto *peerReport = std::get_if<EntryReport>(&payload); peerReport != nullptr) {
        peers_.send(from, core_.makeUpdateFor(*peerReport));
    } else if (const auto *update = std::get_if<EntryUpdate>(&payload); update != nullptr) {
        // Only updates of the leader carry a term; a term of zero marks the update of another entry.
        if (update->leaderTerm == 0) {
            core_.onPeerUpdate(now, *update);
            performActions();
        } else {
            onLeaderUpdate(from, *update);
        }
    } else if (const auto *hint = std::get_if<LeaderHint>(&payload); hint != nullptr) {
        if (!hint->leader.empty() && hint->leader != controlVm_) {
            controlVm_ = hint->leader;
            lastControlAttemptAt_ = now;
            sendReport(now);
        }
    }
}

void EntryNode::onLeaderUpdate(const VmId &from, const EntryUpdate &update)
{
    const Instant now = Clock::now();
    if (update.leaderTerm < leaderTerm_) {
        return;
    }
    leaderTerm_ = update.leaderTerm;
    if (!hasLeader_ || controlVm_ != from) {
        context_.log.log(
            now, "control.found", { { "control", std::string_view(from.value) }, { "term", update.leaderTerm } });
    }
    hasLeader_ = true;
    controlVm_ = from;
    lastLeaderUpdateAt_ = now;
    unacknowledgedReportSince_.reset();
    reportInterval_ = std::chrono::milliseconds(std::max(update.reportIntervalMs, 50U));
    if (!update.peers.empty()) {
        peerEntries_ = update.peers;
    }
    if (!update.controlVms.empty()) {
        controlVms_ = update.controlVms;
    }
    core_.onControlUpdate(now, update);
    performActions();
    if (!update.configuration.empty() || update.topology || !update.quotas.empty()) {
        sendReport(now);
    }
}

} // namespace daisyrelay
