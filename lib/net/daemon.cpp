#include "daisyrelay/net/daemon.h"

#include "backendclient.h"
#include "controlruntime.h"
#include "entryruntime.h"
#include "gossipruntime.h"
#include "httpfrontend.h"
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

static constexpr Duration DrainPollInterval = std::chrono::milliseconds(10);
static constexpr Duration MaxDrainIdle = std::chrono::seconds(2);
static constexpr Duration LeaveDuration = std::chrono::milliseconds(300);
static constexpr int ExitStartFailed = 1;
static constexpr int ExitRequestsAborted = 3;

namespace {

/// Owns the threads and components, and passes messages between them.
class Daemon
{
public:
    explicit Daemon(const Settings &settings);

    int run();

private:
    HttpFrontend::Hooks frontendHooks();
    EntryRuntime::Hooks entryHooks();
    BackendClient::Hooks backendHooks();
    PeerNetwork::Hooks peerHooks();
    GossipRuntime::Hooks gossipHooks();
    void performBackendAction(RelayAction action);
    void deliverToThread(PeerMessage message);
    void drain();
    void pollDrainProgress();
    void finishIfDrained(bool isIdle);
    void finish(int code);
    void waitForSignal(asio::signal_set &signals);

    Settings settings_;
    Counters counters_;
    EventLoopThread callerThread_;
    EventLoopThread relayThread_;
    EventLoopThread backendThread_;
    EventLoopThread peerThread_;
    EventLoopThread controlThread_;
    FaultInjector faults_;
    BackendClient backends_;
    PeerNetwork peers_;
    GossipRuntime gossip_;
    EntryRuntime entry_;
    std::unique_ptr<ControlRuntime> control_;
    HttpFrontend frontend_;
    std::atomic<bool> isDraining_ { false };
    Instant drainDeadline_ {};
    Instant drainNoticeEndsAt_ {};
    std::promise<int> exitCodePromise_;
    bool isListeningStopped_ = false;
    bool isDrained_ = false;
    std::unique_ptr<asio::steady_timer> leaveTimer_;
};

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings_(settings)
    , callerThread_("caller", counters_)
    , relayThread_("relay", counters_)
    , backendThread_("backend", counters_)
    , peerThread_("peer", counters_)
    , controlThread_("control", counters_)
    , backends_(backendThread_, counters_, faults_, backendHooks())
    , peers_(peerThread_, settings_, counters_, faults_, peerHooks())
    , gossip_(peerThread_, settings_, counters_, faults_, gossipHooks())
    , entry_(relayThread_, settings_, counters_, entryHooks())
    , frontend_(callerThread_, settings_, counters_, frontendHooks())
{
    if (settings_.isControlVm) {
        control_
            = std::make_unique<ControlRuntime>(controlThread_, settings_, [this](const VmId &to, PeerPayload payload) {
                  peerThread_.tryPost([this, to, payload = std::move(payload)]() { peers_.send(to, payload); });
              });
    }
}

HttpFrontend::Hooks Daemon::frontendHooks()
{
    HttpFrontend::Hooks hooks;
    hooks.submitCall = [this](CallerRequest request) {
        return relayThread_.tryPost([this, request = std::move(request)]() { entry_.onCallerRequest(request); });
    };
    hooks.setFaults = [this](NetworkFaults faults) { faults_.set(std::move(faults)); };
    hooks.submitAnnouncement = [this](BackendAnnouncement announcement) {
        if (faults_.blocksIncoming(announcement.host)) {
            return true;
        }
        return relayThread_.tryPost(
            [this, announcement = std::move(announcement)]() { entry_.onBackendAnnounced(announcement); });
    };
    hooks.submitConfigChange = [this](ConfigChangeRequest request) {
        return relayThread_.tryPost([this, request = std::move(request)]() { entry_.onConfigChange(request); });
    };
    hooks.collectStatus = [this](std::function<void(boost::json::object)> onStatus) {
        return relayThread_.tryPost([this, onStatus = std::move(onStatus)]() {
            peerThread_.tryPost([this, onStatus, status = entry_.status()]() mutable {
                gossip_.addStatus(status);
                callerThread_.tryPost([onStatus, status = std::move(status)]() { onStatus(status); });
            });
        });
    };
    hooks.startDrain = [this]() { drain(); };
    return hooks;
}

EntryRuntime::Hooks Daemon::entryHooks()
{
    EntryRuntime::Hooks hooks;
    hooks.sendCallerResponse = [this](RespondToCaller response) {
        callerThread_.tryPost([this, response = std::move(response)]() { frontend_.onCallerResponse(response); });
    };
    hooks.sendToPeer = [this](const VmId &to, PeerPayload payload) {
        peerThread_.tryPost([this, to, payload = std::move(payload)]() { peers_.send(to, payload); });
    };
    hooks.performBackendAction = [this](RelayAction action) {
        backendThread_.tryPost([this, action = std::move(action)]() { performBackendAction(action); });
    };
    hooks.sendConfigChangeResponse = [this](ConfigChangeResponse response) {
        callerThread_.tryPost([this, response = std::move(response)]() { frontend_.onConfigChangeResponse(response); });
    };
    hooks.onConfigActivated = [this](std::uint64_t version, std::string text) {
        callerThread_.tryPost(
            [this, version, text = std::move(text)]() { frontend_.onConfigActivated(version, text); });
        peerThread_.tryPost([this, version]() { gossip_.setConfigVersion(version); });
    };
    hooks.disseminateAnnouncement = [this](BackendAnnouncement announcement) {
        peerThread_.tryPost(
            [this, announcement = std::move(announcement)]() { gossip_.announceBackend(announcement); });
    };
    hooks.setReady = [this](bool ready) { callerThread_.tryPost([this, ready]() { frontend_.setReady(ready); }); };
    return hooks;
}

BackendClient::Hooks Daemon::backendHooks()
{
    BackendClient::Hooks hooks;
    hooks.onOpened = [this](ConnectionId id) { relayThread_.tryPost([this, id]() { entry_.onConnectionOpened(id); }); };
    hooks.onClosed = [this](ConnectionId id) { relayThread_.tryPost([this, id]() { entry_.onConnectionClosed(id); }); };
    hooks.onResponse = [this](BackendStatementResponse response) {
        relayThread_.tryPost([this, response = std::move(response)]() { entry_.onBackendResponse(response); });
    };
    hooks.onReplicaPoint = [this](const BackendId &backend, std::optional<LogPoint> point) {
        relayThread_.tryPost([this, backend, point]() { entry_.onReplicaPoint(backend, point); });
    };
    return hooks;
}

PeerNetwork::Hooks Daemon::peerHooks()
{
    PeerNetwork::Hooks hooks;
    hooks.onMessage = [this](PeerMessage message) { deliverToThread(std::move(message)); };
    hooks.onUnreachable = [this](const VmId &vm) {
        gossip_.onPeerUnreachable(vm);
        relayThread_.tryPost([this, vm]() { entry_.onPeerUnreachable(vm); });
    };
    return hooks;
}

GossipRuntime::Hooks Daemon::gossipHooks()
{
    GossipRuntime::Hooks hooks;
    hooks.sendSync = [this](const VmId &to, MembershipSync sync) { peers_.send(to, std::move(sync)); };
    hooks.onMemberChanged = [this](const MemberRecord &record) {
        peers_.setPeer(record.id, { record.peerHost, record.peerPort });
        if (record.state == MemberState::Dead || record.state == MemberState::Left) {
            // Requests forwarded to the VM must not wait for a connection that was lost without notice.
            peers_.reset(record.id);
            relayThread_.tryPost([this, vm = record.id]() { entry_.onPeerUnreachable(vm); });
        }
    };
    hooks.onMemberRemoved = [this](const VmId &vm) { peers_.removePeer(vm); };
    hooks.onBackendAnnounced = [this](const BackendAnnouncement &announcement) {
        const PeerMessage message { settings_.id, announcement };
        if (control_) {
            controlThread_.tryPost([this, message]() { control_->onMessage(message); });
        }
        relayThread_.tryPost([this, message]() { entry_.onMessage(message); });
    };
    return hooks;
}

void Daemon::performBackendAction(RelayAction action)
{
    if (const auto *connect = std::get_if<ConnectBackend>(&action); connect != nullptr) {
        backends_.connect(*connect);
    } else if (const auto *disconnect = std::get_if<DisconnectBackend>(&action); disconnect != nullptr) {
        backends_.disconnect(*disconnect);
    } else if (const auto *send = std::get_if<SendStatement>(&action); send != nullptr) {
        backends_.send(*send);
    } else if (const auto *positionRequest = std::get_if<AwaitBackendPosition>(&action); positionRequest != nullptr) {
        backends_.pollReplica(*positionRequest);
    }
}

void Daemon::deliverToThread(PeerMessage message)
{
    const PeerPayload &payload = message.payload;
    if (std::holds_alternative<BackendAnnouncement>(payload)) {
        counters_.add("peer.rejected.announcement"); // Announcements are disseminated by the membership protocol only.
        return;
    }
    if (const auto *sync = std::get_if<MembershipSync>(&payload); sync != nullptr) {
        gossip_.onSync(message.from, *sync);
        return;
    }
    const bool isForControl = std::holds_alternative<RaftMessage>(payload)
        || std::holds_alternative<LeaseRequest>(payload) || std::holds_alternative<ConfigChangeRequest>(payload);
    if (!isForControl) {
        relayThread_.tryPost([this, message = std::move(message)]() { entry_.onMessage(message); });
    } else if (control_) {
        controlThread_.tryPost([this, message = std::move(message)]() { control_->onMessage(message); });
    }
}

void Daemon::drain()
{
    if (isDraining_.exchange(true)) {
        return;
    }
    spdlog::info("draining");
    peerThread_.tryPost([this]() { gossip_.startDraining(); });
    callerThread_.tryPost([this]() {
        frontend_.startDraining();
        drainNoticeEndsAt_ = Clock::now() + settings_.drainNoticePeriod;
        drainDeadline_ = drainNoticeEndsAt_ + settings_.drainTimeout;
        callerThread_.runEvery(DrainPollInterval, [this]() { pollDrainProgress(); });
    });
}

/// Keeps accepting connections during the notice period, in which load balancers detect the drain. Then stops listening
/// and waits for the pending requests.
void Daemon::pollDrainProgress()
{
    if (isDrained_ || Clock::now() < drainNoticeEndsAt_) {
        return;
    }
    if (!std::exchange(isListeningStopped_, true)) {
        frontend_.stopListening();
        relayThread_.tryPost([this]() { entry_.drain(); });
    }
    relayThread_.tryPost([this]() {
        const bool isIdle = entry_.isIdle();
        callerThread_.tryPost([this, isIdle]() { finishIfDrained(isIdle); });
    });
}

void Daemon::finishIfDrained(bool isIdle)
{
    if (isDrained_) {
        return;
    }
    frontend_.closeIdle(MaxDrainIdle);
    const bool isDone
        = isIdle && !frontend_.isListening() && frontend_.pendingCallCount() == 0 && frontend_.connectionCount() == 0;
    if (!isDone && Clock::now() < drainDeadline_) {
        return;
    }
    isDrained_ = true;
    const bool hasAbortedRequests = !isIdle || frontend_.pendingCallCount() > 0;
    finish(hasAbortedRequests ? ExitRequestsAborted : 0);
}

/// Leaves the membership and exits after a delay in which the last messages are sent to other VMs.
void Daemon::finish(int code)
{
    peerThread_.tryPost([this]() { gossip_.leave(); });
    leaveTimer_ = std::make_unique<asio::steady_timer>(callerThread_.context(), LeaveDuration);
    leaveTimer_->async_wait([this, code](const boost::system::error_code &) { exitCodePromise_.set_value(code); });
}

/// Starts the drain. Later signals are handled too, so that they do not terminate the process.
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
    for (const Expected<void> &listening : { frontend_.listen(), peers_.listen(), gossip_.listen() }) {
        if (!listening) {
            spdlog::error("{}", listening.error().detail);
            return ExitStartFailed;
        }
    }
    if (control_) {
        if (const Expected<void> opened = control_->loadState(settings_, counters_); !opened) {
            spdlog::critical("failed to start: {}", opened.error().detail);
            return ExitStartFailed;
        }
        control_->start();
    }
    if (control_) {
        control_->setBlockedCheck([this](const Endpoint &address) {
            return faults_.blocksOutgoing(address.host) || faults_.blocksIncoming(address.host);
        });
    }
    entry_.start();
    gossip_.start();
    asio::signal_set signals(callerThread_.context(), SIGTERM, SIGINT);
    waitForSignal(signals);
    const std::array threads { &callerThread_, &relayThread_, &backendThread_, &peerThread_, &controlThread_ };
    for (EventLoopThread *thread : threads) {
        thread->start();
    }
    spdlog::info("{} accepts requests on {}:{}", settings_.id.value, settings_.http.host, settings_.http.port);
    const int code = exitCodePromise_.get_future().get();
    for (EventLoopThread *thread : threads) {
        thread->stop();
    }
    spdlog::info("stopped");
    return code;
}

int runDaemon(const Settings &settings)
{
    if (sodium_init() < 0) {
        spdlog::error("failed to initialize libsodium");
        return ExitStartFailed;
    }
    Daemon daemon(settings);
    return daemon.run();
}

} // namespace daisyrelay
