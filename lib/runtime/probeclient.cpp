#include "probeclient.h"

#include <algorithm>

namespace daisyrelay {

/// Idle time after which a connection is closed, such as one that was opened only for a survey.
static constexpr Duration MaxIdleTime = std::chrono::seconds(2);

ProbeClient::ProbeClient(boost::asio::io_context &context, const PlatformHooks &platform, ResultHandler onResult)
    : platform_(platform)
    , onResult_(std::move(onResult))
    , connections_(context, platform,
          { [this](ConnectionId connection, std::optional<LogPoint> /*position*/) {
               const auto found = connectionByBackend_.find(backendForConnection(connection));
               if (found != connectionByBackend_.end()) {
                   found->second.isOpened = true;
                   sendProbe(found->second);
               }
           },
              [this](ConnectionId connection, ConnectionLoss loss) {
                  ProbeOutcome outcome;
                  const bool isRefused = loss == ConnectionLoss::Refused || loss == ConnectionLoss::WrongBackend;
                  outcome.result = isRefused ? ProbeResult::Refused : ProbeResult::NoResponse;
                  finishProbe(backendForConnection(connection), outcome, false);
              },
              [this](ConnectionId connection, const std::vector<BackendResponse> &responses) {
                  onExchange(connection, responses);
              } })
{
}

BackendId ProbeClient::backendForConnection(ConnectionId connection) const
{
    const auto found = std::find_if(connectionByBackend_.begin(), connectionByBackend_.end(),
        [connection](const auto &entry) { return entry.second.connection == connection; });
    return found == connectionByBackend_.end() ? BackendId {} : found->first;
}

void ProbeClient::startProbe(const ProbeBackend &probe)
{
    const Instant now = Clock::now();
    ProbeConnection &existing = connectionByBackend_[probe.backend.id];
    if (existing.probe) {
        // A new probe replaces the previous one, which did not get a response in time.
        finishProbe(probe.backend.id, {}, false);
    }
    ProbeConnection &current = connectionByBackend_[probe.backend.id];
    if (current.connection != 0 && current.startedAtMs != probe.backend.startedAtMs) {
        connections_.close(current.connection);
        current = {};
    }
    current.probe = probe;
    current.lastUsedAt = now;
    current.deadline = now + probe.timeout;
    if (current.connection == 0) {
        current.connection = nextConnectionId_++;
        current.startedAtMs = probe.backend.startedAtMs;
        connections_.open({ current.connection, probe.backend, probe.timeout });
    } else if (current.isOpened) {
        sendProbe(current);
    }
}

void ProbeClient::sendProbe(ProbeConnection &state)
{
    if (!state.probe) {
        return;
    }
    RunExchange exchange { state.connection, {} };
    Statement statement;
    switch (state.probe->kind) {
    case ProbeKind::Role:
        statement.type = StatementType::Begin;
        exchange.statements.push_back(statement);
        statement.type = StatementType::Rollback;
        break;
    case ProbeKind::Status:
        statement.type = StatementType::Status;
        break;
    case ProbeKind::Pause:
        statement.type = StatementType::Pause;
        statement.term = state.probe->pauseTerm;
        break;
    case ProbeKind::Resume:
        statement.type = StatementType::Resume;
        break;
    case ProbeKind::StepDown:
        statement.type = StatementType::StepDown;
        statement.term = state.probe->pauseTerm;
        break;
    }
    exchange.statements.push_back(std::move(statement));
    connections_.runExchange(exchange);
}

void ProbeClient::onExchange(ConnectionId connection, const std::vector<BackendResponse> &responses)
{
    const BackendId backend = backendForConnection(connection);
    const auto found = connectionByBackend_.find(backend);
    if (found == connectionByBackend_.end() || !found->second.probe || responses.empty()) {
        return;
    }
    const BackendResponse &response = responses.front();
    ProbeOutcome outcome;
    if (response.position) {
        outcome.received = *response.position;
        outcome.term = response.position->term;
    }
    if (found->second.probe->kind == ProbeKind::Role) {
        const bool isReplica = response.code == ResponseCode::NotPrimary;
        outcome.result = response.code == ResponseCode::Ok
            ? ProbeResult::IsPrimary
            : (isReplica ? ProbeResult::IsReplica : ProbeResult::Responded);
    } else if (!response.rows.empty()) {
        if (const std::optional<BackendStatus> status = platform_.decodeBackendStatus(response.rows.front()); status) {
            outcome.result = ProbeResult::Responded;
            outcome.term = status->term;
            outcome.received = status->received;
            outcome.ownTerm = status->ownTerm;
            outcome.claimsPrimary = status->isPrimary;
        }
    }
    finishProbe(backend, outcome, responses.back().state == TransactionState::Idle);
}

void ProbeClient::finishProbe(const BackendId &backend, ProbeOutcome outcome, bool shouldKeepConnection)
{
    const auto found = connectionByBackend_.find(backend);
    if (found == connectionByBackend_.end()) {
        return;
    }
    const std::optional<ProbeBackend> probe = std::exchange(found->second.probe, std::nullopt);
    if (!shouldKeepConnection) {
        connections_.close(found->second.connection);
        connectionByBackend_.erase(found);
    }
    if (probe) {
        outcome.probeId = probe->probeId;
        onResult_(outcome);
    }
}

void ProbeClient::tick(Instant now)
{
    std::vector<BackendId> overdue;
    std::vector<BackendId> idle;
    for (const auto &[id, state] : connectionByBackend_) {
        if (state.probe && now > state.deadline) {
            overdue.push_back(id);
        } else if (!state.probe && now - state.lastUsedAt > MaxIdleTime) {
            idle.push_back(id);
        }
    }
    for (const BackendId &backend : overdue) {
        finishProbe(backend, {}, false);
    }
    for (const BackendId &backend : idle) {
        finishProbe(backend, {}, false);
    }
}

void ProbeClient::closeAll()
{
    while (!connectionByBackend_.empty()) {
        const auto first = connectionByBackend_.begin();
        connections_.close(first->second.connection);
        connectionByBackend_.erase(first);
    }
}

} // namespace daisyrelay
