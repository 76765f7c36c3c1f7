#include "controlruntime.h"

#include "protocol.h"

#include <random>

#include <spdlog/spdlog.h>

namespace daisyrelay {

static constexpr Duration TickInterval = std::chrono::milliseconds(10);
static constexpr Duration DatabaseTimeout = std::chrono::milliseconds(250);

static RaftOptions raftOptions(const Settings &settings)
{
    RaftOptions options;
    options.self = settings.id;
    for (const Seed &seed : settings.seeds) {
        if (seed.control) {
            options.voters.push_back(seed.id);
        }
    }
    options.seed = std::random_device()();
    return options;
}

ControlRuntime::ControlRuntime(Duty &duty, const Settings &settings, Send send)
    : duty_(duty)
    , self_(settings.id)
    , send_(std::move(send))
    , raft_(Clock::now(), raftOptions(settings), {}, {})
    , control_(settings.id)
{
}

void ControlRuntime::start()
{
    duty_.every(TickInterval, [this]() { tick(); });
}

void ControlRuntime::tick()
{
    const Instant now = Clock::now();
    raft_.tick(now);
    control_.tick(now);
    flush();
}

void ControlRuntime::onMessage(const PeerMessage &message)
{
    const Instant now = Clock::now();
    if (const auto *raft = std::get_if<RaftMessage>(&message.payload); raft != nullptr) {
        raft_.receive(now, *raft);
    } else if (const auto *lease = std::get_if<LeaseRequest>(&message.payload); lease != nullptr) {
        control_.onLeaseRequest(now, *lease);
    } else if (const auto *announced = std::get_if<BackendAnnouncement>(&message.payload); announced != nullptr) {
        control_.onAnnouncement(now, *announced);
    } else if (const auto *change = std::get_if<ConfigChangeRequest>(&message.payload); change != nullptr) {
        control_.onConfigChange(now, message.from, *change);
    }
    flush();
}

void ControlRuntime::flush()
{
    bool busy = true;
    while (busy) {
        busy = false;
        const RaftActions actions = raft_.takeActions();
        for (const RaftMessage &message : actions.messages) {
            send_(message.to, message);
        }
        for (const LogEntry &entry : actions.committed) {
            control_.onCommitted(Clock::now(), entry);
        }
        control_.onLeadership(Clock::now(), raft_.mayAnswer(Clock::now()), raft_.term());
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
        raft_.propose(Clock::now(), encodeControlCommand(propose->command));
    } else if (const auto *message = std::get_if<ControlSend>(&action); message != nullptr) {
        send_(message->to, message->payload);
    } else if (const auto *survey = std::get_if<SurveyBackend>(&action); survey != nullptr) {
        request.method = "GET";
        request.target = "/status";
        ask(survey->address, request, [this, backend = survey->backend](std::optional<HttpResponse> response) {
            const Expected<LogPoint> point
                = response ? parseStatusPoint(*response) : tl::unexpected(Error { ErrorKind::BackendUnavailable, "" });
            control_.onSurveyed(Clock::now(), backend, point ? std::optional(*point) : std::nullopt);
            flush();
        });
    } else if (const auto *promote = std::get_if<PromoteBackend>(&action); promote != nullptr) {
        request.method = "POST";
        request.target = "/promote";
        request.body = R"({"term":)" + std::to_string(promote->term) + "}";
        spdlog::info("promoting {} for term {}", promote->backend.value, promote->term);
        ask(promote->address, request, [this, order = *promote](std::optional<HttpResponse> response) {
            const Expected<LogPoint> point
                = response ? parseStatusPoint(*response) : tl::unexpected(Error { ErrorKind::BackendUnavailable, "" });
            control_.onPromoted(Clock::now(), order.backend, order.term, point ? std::optional(*point) : std::nullopt);
            flush();
        });
    } else if (const auto *follow = std::get_if<FollowPrimary>(&action); follow != nullptr) {
        request.method = "POST";
        request.target = "/follow";
        request.body = R"({"term":)" + std::to_string(follow->term) + R"(,"primary":")" + follow->primary.host + ":"
            + std::to_string(follow->primary.port) + R"("})";
        ask(follow->address, request, [](const std::optional<HttpResponse> &) {});
    }
}

void ControlRuntime::ask(
    const Endpoint &address, const HttpRequest &request, std::function<void(std::optional<HttpResponse>)> done)
{
    if (isCut_ && isCut_(address)) {
        auto timer = std::make_shared<boost::asio::steady_timer>(duty_.context(), DatabaseTimeout);
        timer->async_wait([timer, done = std::move(done)](const boost::system::error_code &) { done(std::nullopt); });
        return;
    }
    auto connection = std::make_shared<HttpConnection>(duty_.context());
    connection->connect(address, DatabaseTimeout, [connection, request, done = std::move(done)](bool connected) {
        if (!connected) {
            done(std::nullopt);
            return;
        }
        connection->request(request, DatabaseTimeout,
            [connection, done](std::optional<HttpResponse> response) { done(std::move(response)); });
    });
}

void ControlRuntime::setCut(std::function<bool(const Endpoint &)> isCut)
{
    isCut_ = std::move(isCut);
}

std::string ControlRuntime::describe() const
{
    switch (raft_.role()) {
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
