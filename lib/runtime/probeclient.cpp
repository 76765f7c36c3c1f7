#include "probeclient.h"

#include <algorithm>

namespace daisyrelay {

/// A connection that was used for a survey and not since is given back.
static constexpr Duration IdleLimit = std::chrono::seconds(2);

ProbeClient::ProbeClient(boost::asio::io_context &context, const PlatformHooks &platform, Done done)
    : platform_(platform)
    , done_(std::move(done))
    , links_(context, platform,
          { [this](ConnectionId connection, std::optional<LogPoint> /*position*/) {
               const auto found = backends_.find(backendOf(connection));
               if (found != backends_.end()) {
                   found->second.opened = true;
                   run(found->second);
               }
           },
              [this](ConnectionId connection, ConnectionLoss loss) {
                  ProbeOutcome outcome;
                  const bool refused = loss == ConnectionLoss::Refused || loss == ConnectionLoss::WrongBackend;
                  outcome.result = refused ? ProbeResult::Refused : ProbeResult::NoResponse;
                  finish(backendOf(connection), outcome, false);
              },
              [this](ConnectionId connection, const std::vector<BackendResponse> &answers) {
                  onExchange(connection, answers);
              } })
{
}

BackendId ProbeClient::backendOf(ConnectionId connection) const
{
    const auto found = std::find_if(backends_.begin(), backends_.end(),
        [connection](const auto &entry) { return entry.second.connection == connection; });
    return found == backends_.end() ? BackendId {} : found->first;
}

void ProbeClient::ask(const ProbeBackend &probe)
{
    const Instant now = Clock::now();
    Link &link = backends_[probe.backend.id];
    if (link.probe) {
        // The one before is overdue for whoever asks again.
        finish(probe.backend.id, {}, false);
    }
    Link &fresh = backends_[probe.backend.id];
    if (fresh.connection != 0 && fresh.startedAtMs != probe.backend.startedAtMs) {
        links_.close(fresh.connection);
        fresh = {};
    }
    fresh.probe = probe;
    fresh.usedAt = now;
    fresh.deadline = now + probe.timeout;
    if (fresh.connection == 0) {
        fresh.connection = nextConnection_++;
        fresh.startedAtMs = probe.backend.startedAtMs;
        links_.open({ fresh.connection, probe.backend, probe.timeout });
    } else if (fresh.opened) {
        run(fresh);
    }
}

void ProbeClient::run(Link &link)
{
    if (!link.probe) {
        return;
    }
    RunExchange exchange { link.connection, {} };
    Statement statement;
    switch (link.probe->kind) {
    case ProbeKind::Role:
        statement.kind = StatementType::Begin;
        exchange.statements.push_back(statement);
        statement.kind = StatementType::Rollback;
        break;
    case ProbeKind::Status:
        statement.kind = StatementType::Status;
        break;
    case ProbeKind::Pause:
        statement.kind = StatementType::Pause;
        statement.term = link.probe->pauseTerm;
        break;
    case ProbeKind::Resume:
        statement.kind = StatementType::Resume;
        break;
    }
    exchange.statements.push_back(std::move(statement));
    links_.run(exchange);
}

void ProbeClient::onExchange(ConnectionId connection, const std::vector<BackendResponse> &answers)
{
    const BackendId backend = backendOf(connection);
    const auto found = backends_.find(backend);
    if (found == backends_.end() || !found->second.probe || answers.empty()) {
        return;
    }
    const BackendResponse &answer = answers.front();
    ProbeOutcome outcome;
    if (answer.position) {
        outcome.received = *answer.position;
        outcome.term = answer.position->term;
    }
    if (found->second.probe->kind == ProbeKind::Role) {
        const bool follows = answer.code == ResponseCode::NotPrimary;
        outcome.result = answer.code == ResponseCode::Ok ? ProbeResult::IsPrimary
                                                       : (follows ? ProbeResult::IsReplica : ProbeResult::Responded);
    } else if (!answer.rows.empty()) {
        if (const std::optional<BackendStatus> status = platform_.decodeStatus(answer.rows.front()); status) {
            outcome.result = ProbeResult::Responded;
            outcome.term = status->term;
            outcome.received = status->received;
        }
    }
    finish(backend, outcome, answers.back().state == TransactionState::Idle);
}

void ProbeClient::finish(const BackendId &backend, ProbeOutcome outcome, bool keep)
{
    const auto found = backends_.find(backend);
    if (found == backends_.end()) {
        return;
    }
    const std::optional<ProbeBackend> probe = std::exchange(found->second.probe, std::nullopt);
    if (!keep) {
        links_.close(found->second.connection);
        backends_.erase(found);
    }
    if (probe) {
        outcome.probeId = probe->probeId;
        done_(outcome);
    }
}

void ProbeClient::tick(Instant now)
{
    std::vector<BackendId> overdue;
    std::vector<BackendId> idle;
    for (const auto &[id, link] : backends_) {
        if (link.probe && now > link.deadline) {
            overdue.push_back(id);
        } else if (!link.probe && now - link.usedAt > IdleLimit) {
            idle.push_back(id);
        }
    }
    for (const BackendId &backend : overdue) {
        finish(backend, {}, false);
    }
    for (const BackendId &backend : idle) {
        finish(backend, {}, false);
    }
}

void ProbeClient::closeAll()
{
    while (!backends_.empty()) {
        const auto first = backends_.begin();
        links_.close(first->second.connection);
        backends_.erase(first);
    }
}

} // namespace daisyrelay
