#include "daisyrelay/net/daemon.h"

#include "backendio.h"
#include "callerfront.h"
#include "controlruntime.h"
#include "entryruntime.h"
#include "gossipruntime.h"
#include "peernetwork.h"

#include <array>
#include <atomic>
#include <csignal>
#include <future>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sodium.h>
#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace asio = boost::asio;

static constexpr Duration DrainPoll = std::chrono::milliseconds(10);
static constexpr Duration DrainIdle = std::chrono::seconds(2);
static constexpr Duration LeaveTime = std::chrono::milliseconds(300);
static constexpr int ExitStartFailed = 1;
static constexpr int ExitRequestsCut = 3;

namespace {

/// Owns the duties and carries messages between them.
class Daemon
{
public:
    explicit Daemon(const Settings &settings);

    int run();

private:
    CallerFront::Hooks frontHooks();
    EntryRuntime::Hooks entryHooks();
    BackendIo::Hooks backendHooks();
    PeerNetwork::Hooks peerHooks();
    GossipRuntime::Hooks gossipHooks();
    void performBackend(RelayAction action);
    void deliver(PeerMessage message);
    void drain();
    void pollDrained();
    void checkDrained(bool idle);
    void finish(int code);
    void waitForSignal(asio::signal_set &signals);

    Settings settings_;
    Counters counters_;
    Duty callerDuty_;
    Duty relayDuty_;
    Duty backendDuty_;
    Duty peerDuty_;
    Duty controlDuty_;
    FaultPlan faults_;
    BackendIo backends_;
    PeerNetwork peers_;
    GossipRuntime gossip_;
    EntryRuntime entry_;
    std::unique_ptr<ControlRuntime> control_;
    CallerFront front_;
    std::atomic<bool> draining_ { false };
    Instant drainDeadline_ {};
    Instant noticeUntil_ {};
    std::promise<int> finished_;
    bool noticed_ = false;
    bool drained_ = false;
    std::unique_ptr<asio::steady_timer> leaveTimer_;
};

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings_(settings)
    , callerDuty_("caller", counters_)
    , relayDuty_("relay", counters_)
    , backendDuty_("backend", counters_)
    , peerDuty_("peer", counters_)
    , controlDuty_("control", counters_)
    , backends_(backendDuty_, counters_, faults_, backendHooks())
    , peers_(peerDuty_, settings_, counters_, faults_, peerHooks())
    , gossip_(peerDuty_, settings_, counters_, faults_, gossipHooks())
    , entry_(relayDuty_, settings_, counters_, entryHooks())
    , front_(callerDuty_, settings_, counters_, frontHooks())
{
    if (settings_.control) {
        control_
            = std::make_unique<ControlRuntime>(controlDuty_, settings_, [this](const VmId &to, PeerPayload payload) {
                  peerDuty_.tryPost([this, to, payload = std::move(payload)]() { peers_.send(to, payload); });
              });
    }
}

CallerFront::Hooks Daemon::frontHooks()
{
    CallerFront::Hooks hooks;
    hooks.caller = [this](CallerRequest request) {
        return relayDuty_.tryPost([this, request = std::move(request)]() { entry_.onCaller(request); });
    };
    hooks.faults = [this](NetworkFaults faults) { faults_.set(std::move(faults)); };
    hooks.announced = [this](BackendAnnouncement announcement) {
        if (faults_.cutsIn(announcement.host)) {
            return true;
        }
        return relayDuty_.tryPost(
            [this, announcement = std::move(announcement)]() { entry_.onAnnounced(announcement); });
    };
    hooks.configChange = [this](ConfigChangeRequest request) {
        return relayDuty_.tryPost([this, request = std::move(request)]() { entry_.onConfigChange(request); });
    };
    hooks.status = [this](std::function<void(boost::json::object)> done) {
        return relayDuty_.tryPost([this, done = std::move(done)]() {
            peerDuty_.tryPost([this, done, status = entry_.status()]() mutable {
                gossip_.describe(status);
                callerDuty_.tryPost([done, status = std::move(status)]() { done(status); });
            });
        });
    };
    hooks.drain = [this]() { drain(); };
    return hooks;
}

EntryRuntime::Hooks Daemon::entryHooks()
{
    EntryRuntime::Hooks hooks;
    hooks.answer = [this](RespondToCaller answer) {
        callerDuty_.tryPost([this, answer = std::move(answer)]() { front_.onAnswer(answer); });
    };
    hooks.sendPeer = [this](const VmId &to, PeerPayload payload) {
        peerDuty_.tryPost([this, to, payload = std::move(payload)]() { peers_.send(to, payload); });
    };
    hooks.backend = [this](RelayAction action) {
        backendDuty_.tryPost([this, action = std::move(action)]() { performBackend(action); });
    };
    hooks.configAnswer = [this](ConfigChangeAnswer answer) {
        callerDuty_.tryPost([this, answer = std::move(answer)]() { front_.onConfigAnswer(answer); });
    };
    hooks.configInForce = [this](std::uint64_t version, std::string text) {
        callerDuty_.tryPost([this, version, text = std::move(text)]() { front_.onConfigInForce(version, text); });
        peerDuty_.tryPost([this, version]() { gossip_.setConfigVersion(version); });
    };
    hooks.announce = [this](BackendAnnouncement announcement) {
        peerDuty_.tryPost([this, announcement = std::move(announcement)]() { gossip_.hear(announcement); });
    };
    hooks.ready = [this](bool ready) { callerDuty_.tryPost([this, ready]() { front_.setReady(ready); }); };
    return hooks;
}

BackendIo::Hooks Daemon::backendHooks()
{
    BackendIo::Hooks hooks;
    hooks.onOpened = [this](ConnectionId id) { relayDuty_.tryPost([this, id]() { entry_.onConnectionOpened(id); }); };
    hooks.onClosed = [this](ConnectionId id) { relayDuty_.tryPost([this, id]() { entry_.onConnectionClosed(id); }); };
    hooks.onReply = [this](BackendResponse reply) {
        relayDuty_.tryPost([this, reply = std::move(reply)]() { entry_.onBackendReply(reply); });
    };
    hooks.onReplicaPoint = [this](const BackendId &backend, std::optional<LogPoint> point) {
        relayDuty_.tryPost([this, backend, point]() { entry_.onReplicaPoint(backend, point); });
    };
    return hooks;
}

PeerNetwork::Hooks Daemon::peerHooks()
{
    PeerNetwork::Hooks hooks;
    hooks.onMessage = [this](PeerMessage message) { deliver(std::move(message)); };
    hooks.onUnreachable = [this](const VmId &vm) {
        gossip_.onDoubt(vm);
        relayDuty_.tryPost([this, vm]() { entry_.onPeerUnreachable(vm); });
    };
    return hooks;
}

GossipRuntime::Hooks Daemon::gossipHooks()
{
    GossipRuntime::Hooks hooks;
    hooks.sendSync = [this](const VmId &to, MembershipSync sync) { peers_.send(to, std::move(sync)); };
    hooks.memberChanged = [this](const MemberRecord &record) {
        peers_.setPeer(record.id, { record.peerHost, record.peerPort });
        if (record.state == MemberState::Dead || record.state == MemberState::Left) {
            // Forwards to it must not wait for a connection that was cut silently.
            peers_.reset(record.id);
            relayDuty_.tryPost([this, vm = record.id]() { entry_.onPeerUnreachable(vm); });
        }
    };
    hooks.memberForgotten = [this](const VmId &vm) { peers_.removePeer(vm); };
    hooks.backendHeard = [this](const BackendAnnouncement &announcement) {
        const PeerMessage message { settings_.id, announcement };
        if (control_) {
            controlDuty_.tryPost([this, message]() { control_->onMessage(message); });
        }
        relayDuty_.tryPost([this, message]() { entry_.onMessage(message); });
    };
    return hooks;
}

void Daemon::performBackend(RelayAction action)
{
    if (const auto *connect = std::get_if<ConnectBackend>(&action); connect != nullptr) {
        backends_.connect(*connect);
    } else if (const auto *disconnect = std::get_if<DisconnectBackend>(&action); disconnect != nullptr) {
        backends_.disconnect(*disconnect);
    } else if (const auto *send = std::get_if<SendStatement>(&action); send != nullptr) {
        backends_.send(*send);
    } else if (const auto *watch = std::get_if<AwaitBackendPosition>(&action); watch != nullptr) {
        backends_.watch(*watch);
    }
}

void Daemon::deliver(PeerMessage message)
{
    const PeerPayload &payload = message.payload;
    if (std::holds_alternative<BackendAnnouncement>(payload)) {
        counters_.add("peer.rejected.announcement"); // Announcements spread with the membership protocol only.
        return;
    }
    if (const auto *sync = std::get_if<MembershipSync>(&payload); sync != nullptr) {
        gossip_.onSync(message.from, *sync);
        return;
    }
    const bool forControl = std::holds_alternative<RaftMessage>(payload)
        || std::holds_alternative<LeaseRequest>(payload) || std::holds_alternative<ConfigChangeRequest>(payload);
    if (!forControl) {
        relayDuty_.tryPost([this, message = std::move(message)]() { entry_.onMessage(message); });
    } else if (control_) {
        controlDuty_.tryPost([this, message = std::move(message)]() { control_->onMessage(message); });
    }
}

void Daemon::drain()
{
    if (draining_.exchange(true)) {
        return;
    }
    spdlog::info("draining");
    peerDuty_.tryPost([this]() { gossip_.startDraining(); });
    callerDuty_.tryPost([this]() {
        front_.startDraining();
        noticeUntil_ = Clock::now() + settings_.drainNotice;
        drainDeadline_ = noticeUntil_ + settings_.drainLimit;
        callerDuty_.every(DrainPoll, [this]() { pollDrained(); });
    });
}

/// Goes on serving until the balancer has noticed, then finishes what is open.
void Daemon::pollDrained()
{
    if (drained_ || Clock::now() < noticeUntil_) {
        return;
    }
    if (!std::exchange(noticed_, true)) {
        front_.stopListening();
        relayDuty_.tryPost([this]() { entry_.drain(); });
    }
    relayDuty_.tryPost([this]() {
        const bool idle = entry_.idle();
        callerDuty_.tryPost([this, idle]() { checkDrained(idle); });
    });
}

void Daemon::checkDrained(bool idle)
{
    if (drained_) {
        return;
    }
    front_.closeIdle(DrainIdle);
    const bool done = idle && front_.openCalls() == 0 && front_.connections() == 0;
    if (!done && Clock::now() < drainDeadline_) {
        return;
    }
    drained_ = true;
    const bool cut = !idle || front_.openCalls() > 0;
    finish(cut ? ExitRequestsCut : 0);
}

/// Leaves, and gives the last messages to other VMs time to be sent.
void Daemon::finish(int code)
{
    peerDuty_.tryPost([this]() { gossip_.leave(); });
    leaveTimer_ = std::make_unique<asio::steady_timer>(callerDuty_.context(), LeaveTime);
    leaveTimer_->async_wait([this, code](const boost::system::error_code &) { finished_.set_value(code); });
}

/// Each signal asks for the same drain; a second one must not end the process.
void Daemon::waitForSignal(asio::signal_set &signals)
{
    signals.async_wait([this, &signals](const boost::system::error_code &error, int) {
        if (!error) {
            drain();
            waitForSignal(signals);
        }
    });
}

int Daemon::run()
{
    for (const Expected<void> &listening : { front_.listen(), peers_.listen(), gossip_.listen() }) {
        if (!listening) {
            spdlog::error("{}", listening.error().detail);
            return ExitStartFailed;
        }
    }
    if (control_) {
        if (const Expected<void> opened = control_->open(settings_, counters_); !opened) {
            spdlog::critical("does not start: {}", opened.error().detail);
            return ExitStartFailed;
        }
        control_->start();
    }
    if (control_) {
        control_->setCut(
            [this](const Endpoint &address) { return faults_.cutsOut(address.host) || faults_.cutsIn(address.host); });
    }
    entry_.start();
    gossip_.start();
    asio::signal_set signals(callerDuty_.context(), SIGTERM, SIGINT);
    waitForSignal(signals);
    const std::array duties { &callerDuty_, &relayDuty_, &backendDuty_, &peerDuty_, &controlDuty_ };
    for (Duty *duty : duties) {
        duty->start();
    }
    spdlog::info("{} serves on {}:{}", settings_.id.value, settings_.http.host, settings_.http.port);
    const int code = finished_.get_future().get();
    for (Duty *duty : duties) {
        duty->stop();
    }
    spdlog::info("stopped");
    return code;
}

int runDaemon(const Settings &settings)
{
    if (sodium_init() < 0) {
        spdlog::error("libsodium can not be initialized");
        return ExitStartFailed;
    }
    Daemon daemon(settings);
    return daemon.run();
}

} // namespace daisyrelay
