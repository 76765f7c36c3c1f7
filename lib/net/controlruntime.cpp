#include "controlruntime.h"

#include "protocol.h"

#include <boost/asio/post.hpp>

#include <spdlog/spdlog.h>

namespace daisyrelay {

static RaftOptions raftOptions(const Settings &settings)
{
    RaftOptions options;
    options.self = settings.id;
    for (const Seed &seed : settings.seeds) {
        if (seed.isControlVm) {
            options.controlVms.push_back(seed.id);
        }
    }
    options.seed = drawRandomNumber();
    return options;
}

static constexpr Duration TickInterval = std::chrono::milliseconds(10);
static constexpr Duration BackendRequestTimeout = std::chrono::milliseconds(250);

ControlRuntime::ControlRuntime(EventLoopThread &thread, const Settings &settings, Send send)
    : thread_(thread), self_(settings.id), send_(std::move(send)), control_(settings.id)
{
}

Expected<void> ControlRuntime::loadState(const Settings &settings, Counters &counters)
{
    RaftDriver::Hooks hooks;
    hooks.send = [this](const RaftMessage &message) { send_(message.to, message); };
    hooks.apply = [this](const LogEntry &entry) {
        control_.onCommitted(Clock::now(), entry);
        return true;
    };
    hooks.restore = [this](std::string_view bytes) { return control_.restoreSnapshot(Clock::now(), bytes); };
    hooks.snapshot = [this]() { return control_.encodeSnapshot(); };
    Expected<std::unique_ptr<RaftDriver>> driver
        = RaftDriver::open(settings.dataFolder, raftOptions(settings), counters, std::move(hooks));
    if (!driver) {
        return tl::unexpected(driver.error());
    }
    raft_ = std::move(*driver);
    return {};
}

void ControlRuntime::start()
{
    thread_.runEvery(TickInterval, [this]() { tick(); });
}

void ControlRuntime::tick()
{
    const Instant now = Clock::now();
    raft_->core().tick(now);
    updateLeadership();
    control_.tick(now);
    flush();
}

void ControlRuntime::updateLeadership()
{
    const Instant now = Clock::now();
    control_.onLeadership(now, raft_->core().isConfirmedLeader(now), raft_->core().term());
}

void ControlRuntime::onMessage(const PeerMessage &message)
{
    const Instant now = Clock::now();
    updateLeadership();
    if (const auto *raft = std::get_if<RaftMessage>(&message.payload); raft != nullptr) {
        raft_->core().receive(now, *raft);
    } else if (const auto *lease = std::get_if<LeaseRequest>(&message.payload); lease != nullptr) {
        control_.onLeaseRequest(now, *lease);
    } else if (const auto *announced = std::get_if<BackendAnnouncement>(&message.payload); announced != nullptr) {
        control_.onAnnouncement(now, *announced);
    } else if (const auto *change = std::get_if<ConfigChangeRequest>(&message.payload); change != nullptr) {
        control_.onConfigChange(now, message.from, *change);
    }
    scheduleFlush();
}

void ControlRuntime::scheduleFlush()
{
    if (std::exchange(isFlushPending_, true)) {
        return;
    }
    boost::asio::post(thread_.context(), [this]() {
        isFlushPending_ = false;
        flush();
    });
}

void ControlRuntime::flush()
{
    bool hasActions = true;
    while (hasActions) {
        hasActions = false;
        raft_->flush();
        updateLeadership();
        for (const ControlAction &action : control_.takeActions()) {
            performAction(action);
            hasActions = true;
        }
    }
}

static void logProposal(const ControlCommand &command)
{
    const auto *change = std::get_if<GroupMembersCommand>(&command);
    if (change == nullptr) {
        return;
    }
    std::string members;
    for (const BackendId &member : change->members) {
        members += " " + member.value;
    }
    spdlog::info("group {} of {}: {}{}", change->group.group.value, change->group.service.value,
        change->completesTransition ? "completing the change of members" : "changing the members to", members);
}

void ControlRuntime::performAction(const ControlAction &action)
{
    HttpRequest request;
    if (const auto *proposal = std::get_if<ProposeCommand>(&action); proposal != nullptr) {
        logProposal(proposal->command);
        raft_->core().propose(Clock::now(), encodeControlCommand(proposal->command));
    } else if (const auto *message = std::get_if<SendControlMessage>(&action); message != nullptr) {
        send_(message->to, message->payload);
    } else if (const auto *positionQuery = std::get_if<QueryPosition>(&action); positionQuery != nullptr) {
        request.method = "GET";
        request.target = "/status";
        sendBackendRequest(positionQuery->address, request,
            [this, queryId = positionQuery->queryId](const BackendRequestResult &requestResult) {
                updateLeadership();
                control_.onPositionQueryResult(
                    Clock::now(), { queryId, requestResult.point(), requestResult.isRefused });
                flush();
            });
    } else if (const auto *promotion = std::get_if<PromoteBackend>(&action); promotion != nullptr) {
        request.method = "POST";
        request.target = "/promote";
        request.body = R"({"term":)" + std::to_string(promotion->term) + "}";
        spdlog::info("promoting backend server {} to primary in term {}", promotion->backend.value, promotion->term);
        sendBackendRequest(
            promotion->address, request, [this, promoted = *promotion](const BackendRequestResult &requestResult) {
                updateLeadership();
                control_.onPromotionResult(Clock::now(), promoted.backend, promoted.term, requestResult.point());
                flush();
            });
    } else if (const auto *followRequest = std::get_if<FollowPrimary>(&action); followRequest != nullptr) {
        request.method = "POST";
        request.target = "/follow";
        request.body = R"({"term":)" + std::to_string(followRequest->term) + R"(,"primary":")"
            + followRequest->primary.host + ":" + std::to_string(followRequest->primary.port) + R"("})";
        sendBackendRequest(followRequest->address, request, [](const BackendRequestResult &) {});
    }
}

std::optional<LogPoint> ControlRuntime::BackendRequestResult::point() const
{
    if (!response) {
        return std::nullopt;
    }
    const Expected<LogPoint> parsed = parseStatusPoint(*response);
    return parsed ? std::optional(*parsed) : std::nullopt;
}

void ControlRuntime::sendBackendRequest(
    const Endpoint &address, const HttpRequest &request, std::function<void(const BackendRequestResult &)> done)
{
    if (isBlocked_ && isBlocked_(address)) {
        auto timer = std::make_shared<boost::asio::steady_timer>(thread_.context(), BackendRequestTimeout);
        timer->async_wait([timer, done = std::move(done)](const boost::system::error_code &) {
            done({ std::nullopt, false });
        });
        return;
    }
    auto connection = std::make_shared<HttpConnection>(thread_.context());
    const Instant sentAt = Clock::now();
    connection->connect(
        address, BackendRequestTimeout, [connection, request, sentAt, done = std::move(done)](bool isConnected) {
            if (!isConnected) {
                // A failure before the timeout means that the host refused the connection.
                done({ std::nullopt, Clock::now() < sentAt + BackendRequestTimeout });
                return;
            }
            connection->request(
                request, BackendRequestTimeout, [connection, done](std::optional<HttpResponse> response) {
                    done({ std::move(response), false });
                });
        });
}

void ControlRuntime::setBlockedCheck(std::function<bool(const Endpoint &)> isBlocked)
{
    isBlocked_ = std::move(isBlocked);
}

std::string ControlRuntime::roleName() const
{
    switch (raft_->core().role()) {
    case RaftRole::Leader:
        return "leader";
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Follower:
        break;
    }
    return "follower";
}

} // namespace daisyrelay
