// Keys of callers: opens sessions, and ends them when their key is withdrawn.
#include "daisyrelay/proxy/proxycore.h"

namespace daisyrelay {

void ProxyCore::onSessionOpened(Instant now, SessionId id, const std::string &database, const std::string &key)
{
    if (!canFinishBeforeDrainEnds(now, Duration::zero())) {
        rejectSession(now, id, database, { ResponseCode::Busy, "draining", timing_.busyBackoff });
        return;
    }
    if (configuration_.version == 0) {
        // Shortly after a start the configuration is about to arrive. A rejected caller might only reach another
        // starting entry.
        openingSessions_.push_back({ id, database, key, now + timing_.maxConfigurationWait });
        return;
    }
    const std::shared_ptr<const DatabaseRoute> route = findRoute(database);
    std::optional<AccessDenial> denial;
    WorkspaceId workspace;
    if (!route) {
        denial = AccessDenial { ResponseCode::UnknownDatabase, "unknown-database", {} };
    } else if (!canFinishBeforeDrainEnds(now, std::min<Duration>(route->timeout, route->latencyTarget))) {
        denial = AccessDenial { ResponseCode::Busy, "draining", timing_.busyBackoff };
    } else {
        denial = checkKey(now, key, *route, workspace);
    }
    if (!denial) {
        Session &session = sessions_[id];
        session.id = id;
        session.database = database;
        session.key = key;
        session.workspace = workspace;
        session.lastActiveAt = now;
        actions_.emplace_back(AcceptSession { id });
        return;
    }
    if (denial->code == ResponseCode::Unauthorized && newestVersion_ > configuration_.version) {
        // The newer configuration, which is on its way, may contain the key.
        openingSessions_.push_back({ id, database, key, now + timing_.maxConfigurationWait });
        return;
    }
    rejectSession(now, id, database, *denial);
}

void ProxyCore::rejectSession(Instant now, SessionId id, const std::string &database, const AccessDenial &denial)
{
    log_.log(now, "session.rejected",
        { { "database", std::string_view(database) }, { "reason", denial.reason },
            { "config_version", configuration_.version }, { "newest_version", newestVersion_ },
            { "config_age_ms", configurationAge(now) } });
    metrics_.add("sessions_rejected_total");
    metrics_.add("sessions_rejected_total{reason=\"" + std::string(denial.reason) + "\"}");
    const std::string detail = denial.code == ResponseCode::UnknownDatabase ? database : describeDenial(denial);
    actions_.emplace_back(RejectSession { id, denial.code, detail });
}

std::string ProxyCore::describeDenial(const AccessDenial &denial)
{
    if (denial.retryAfter == Duration::zero()) {
        return std::string(denial.reason);
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(denial.retryAfter).count();
    return std::string(denial.reason) + ", come back in " + std::to_string(milliseconds) + " ms";
}

Duration ProxyCore::configurationAge(Instant now) const
{
    constexpr Duration Unknown = std::chrono::milliseconds(-1);
    const std::optional<Instant> confirmedAt = configurationLease_.confirmedAt();
    return confirmedAt ? now - *confirmedAt : Unknown;
}

std::optional<ProxyCore::AccessDenial> ProxyCore::checkKey(
    Instant now, const std::string &key, const DatabaseRoute &route, WorkspaceId &workspace) const
{
    workspace = WorkspaceId {};
    if (!directory_->requiresKeys()) {
        return std::nullopt;
    }
    const Workspace *holder = directory_->findByKey(key);
    if (holder != nullptr) {
        workspace = holder->name;
    }
    if (route.isPublic) {
        return std::nullopt;
    }
    if (!configurationLease_.isValid(now)) {
        return AccessDenial { ResponseCode::Busy, "configuration-unconfirmed", timing_.unconfirmedRetryAfter };
    }
    if (holder == nullptr) {
        return AccessDenial { ResponseCode::Unauthorized, "unknown-key", {} };
    }
    return std::nullopt;
}

bool ProxyCore::admitStatement(Instant now, Session &session, const Statement &statement)
{
    if (session.origin || !directory_->requiresKeys()) {
        return true;
    }
    const std::shared_ptr<const DatabaseRoute> route
        = session.transaction ? session.transaction->route : findRoute(session.database);
    if (!route) {
        return true; // The statement is rejected for the missing route.
    }
    WorkspaceId workspace;
    std::optional<AccessDenial> denial = checkKey(now, session.key, *route, workspace);
    if (!denial && session.transaction && workspace != session.workspace) {
        denial = AccessDenial { ResponseCode::Unauthorized, "key-moved", {} };
    }
    if (denial) {
        denyStatement(now, session, statement, *denial);
        return false;
    }
    session.workspace = workspace;
    return true;
}

void ProxyCore::denyStatement(Instant now, Session &session, const Statement &statement, const AccessDenial &denial)
{
    metrics_.add("refused_total{reason=\"" + std::string(denial.reason) + "\"}");
    log_.log(now, "request.refused",
        { { "request", std::string_view(statement.id) }, { "reason", denial.reason },
            { "database", std::string_view(session.database) },
            { "workspace", std::string_view(session.workspace.value) },
            { "in_transaction", session.transaction.has_value() }, { "config_version", configuration_.version },
            { "newest_version", newestVersion_ }, { "config_age_ms", configurationAge(now) } });
    const bool wasInTransaction = session.transaction.has_value();
    if (wasInTransaction) {
        failTransaction(now, session);
        if (statement.type == StatementType::Commit) {
            session.transaction.reset();
        }
    }
    // The transaction was rolled back, so nothing of it is kept.
    respondLocally(session, wasInTransaction ? ResponseCode::Aborted : denial.code, describeDenial(denial));
    if (denial.code == ResponseCode::Unauthorized && !session.transaction) {
        actions_.emplace_back(CloseSession { session.id });
    }
}

// Sessions that are not idle end with their next statement.
void ProxyCore::endRevokedSessions(Instant now)
{
    if (!directory_->requiresKeys()) {
        return;
    }
    std::uint64_t ended = 0;
    for (auto &[id, session] : sessions_) {
        const std::shared_ptr<const DatabaseRoute> route = findRoute(session.database);
        if (session.origin || session.pending || (route && route->isPublic)) {
            continue;
        }
        const Workspace *holder = directory_->findByKey(session.key);
        if (holder != nullptr && holder->name == session.workspace) {
            continue;
        }
        if (session.transaction && !session.transaction->hasFailed) {
            failTransaction(now, session);
            ++ended;
        } else if (!session.transaction && holder == nullptr && now - session.lastActiveAt > timing_.minIdleTime) {
            actions_.emplace_back(CloseSession { id });
            ++ended;
        }
    }
    if (ended > 0) {
        metrics_.add("sessions_revoked_total", ended);
        log_.log(now, "sessions.revoked", { { "sessions", ended }, { "config_version", configuration_.version } });
    }
}

} // namespace daisyrelay
