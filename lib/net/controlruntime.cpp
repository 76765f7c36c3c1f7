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
        if (seed.control) {
            options.controlVms.push_back(seed.id);
        }
    }
    options.seed = drawRandomNumber();
    return options;
}

static constexpr Duration TickInterval = std::chrono::milliseconds(10);
static constexpr Duration DatabaseTimeout = std::chrono::milliseconds(250);

ControlRuntime::ControlRuntime(Duty &duty, const Settings &settings, Send send)
    : duty_(duty), self_(settings.id), send_(std::move(send)), control_(settings.id)
{
}

Expected<void> ControlRuntime::open(const Settings &settings, Counters &counters)
{
    RaftDriver::Hooks hooks;
    hooks.send = [this](const RaftMessage &message) { send_(message.to, message); };
    hooks.apply = [this](const LogEntry &entry) { control_.onCommitted(Clock::now(), entry); };
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
    duty_.every(TickInterval, [this]() { tick(); });
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
    // Asked before every input: the process may have been stopped since the last one.
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

// Runs after the messages that wait in the ring, so that one sync serves them all.
void ControlRuntime::scheduleFlush()
{
    if (std::exchange(flushPending_, true)) {
        return;
    }
    boost::asio::post(duty_.context(), [this]() {
        flushPending_ = false;
        flush();
    });
}

void ControlRuntime::flush()
{
    bool busy = true;
    while (busy) {
        busy = false;
        raft_->flush();
        updateLeadership();
        for (const ControlAction &action : control_.takeActions()) {
            perform(action);
            busy = true;
        }
    }
}

void ControlRuntime::perform(const ControlAction &action)
{
    HttpRequest request;
    if (const auto *propose = std::get_if<ProposeCommand>(&action); propose != nullptr) {
        raft_->core().propose(Clock::now(), encodeControlCommand(propose->command));
    } else if (const auto *message = std::get_if<ControlSend>(&action); message != nullptr) {
        send_(message->to, message->payload);
    } else if (const auto *survey = std::get_if<SurveyBackend>(&action); survey != nullptr) {
        request.method = "GET";
        request.target = "/status";
        ask(survey->address, request, [this, ticket = survey->ticket](const DatabaseAnswer &answer) {
            updateLeadership();
            control_.onSurveyed(Clock::now(), { ticket, answer.point(), answer.refused });
            flush();
        });
    } else if (const auto *promote = std::get_if<PromoteBackend>(&action); promote != nullptr) {
        request.method = "POST";
        request.target = "/promote";
        request.body = R"({"term":)" + std::to_string(promote->term) + "}";
        spdlog::info("promoting {} for term {}", promote->backend.value, promote->term);
        ask(promote->address, request, [this, order = *promote](const DatabaseAnswer &answer) {
            updateLeadership();
            control_.onPromoted(Clock::now(), order.backend, order.term, answer.point());
            flush();
        });
    } else if (const auto *follow = std::get_if<FollowPrimary>(&action); follow != nullptr) {
        request.method = "POST";
        request.target = "/follow";
        request.body = R"({"term":)" + std::to_string(follow->term) + R"(,"primary":")" + follow->primary.host + ":"
            + std::to_string(follow->primary.port) + R"("})";
        ask(follow->address, request, [](const DatabaseAnswer &) {});
    }
}

std::optional<LogPoint> ControlRuntime::DatabaseAnswer::point() const
{
    if (!response) {
        return std::nullopt;
    }
    const Expected<LogPoint> parsed = parseStatusPoint(*response);
    return parsed ? std::optional(*parsed) : std::nullopt;
}

void ControlRuntime::ask(
    const Endpoint &address, const HttpRequest &request, std::function<void(const DatabaseAnswer &)> done)
{
    if (isCut_ && isCut_(address)) {
        auto timer = std::make_shared<boost::asio::steady_timer>(duty_.context(), DatabaseTimeout);
        timer->async_wait([timer, done = std::move(done)](const boost::system::error_code &) {
            done({ std::nullopt, false });
        });
        return;
    }
    auto connection = std::make_shared<HttpConnection>(duty_.context());
    const Instant askedAt = Clock::now();
    connection->connect(
        address, DatabaseTimeout, [connection, request, askedAt, done = std::move(done)](bool connected) {
            if (!connected) {
                // A failure before the timeout is the host's own answer.
                done({ std::nullopt, Clock::now() < askedAt + DatabaseTimeout });
                return;
            }
            connection->request(request, DatabaseTimeout, [connection, done](std::optional<HttpResponse> response) {
                done({ std::move(response), false });
            });
        });
}

void ControlRuntime::setCut(std::function<bool(const Endpoint &)> isCut)
{
    isCut_ = std::move(isCut);
}

std::string ControlRuntime::describe() const
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
