// Rate limits of workspaces: operations take a token before they start, and this entry may coordinate limits itself.
#include "daisyrelay/proxy/proxycore.h"

namespace daisyrelay {

bool ProxyCore::admitWithinLimit(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    if (session.origin || session.workspace.empty() || pending.role == PendingStatement::Role::Next) {
        return true;
    }
    const RateLimitClient::Decision decision = rateLimits_.acquire(now, session.workspace, pending.arrivedAt);
    sendRateLimitRequests();
    pending.awaitsRateLimit = decision.admission == RateLimitClient::Admission::Waiting;
    if (pending.awaitsRateLimit) {
        limitedSessions_.emplace(pending.arrivedAt, session.id);
        return false;
    }
    if (decision.admission == RateLimitClient::Admission::Denied) {
        reject(now, session, ResponseCode::Busy, "rate-limit", decision.retryAfter);
        return false;
    }
    return true;
}

void ProxyCore::retryLimited(Instant now)
{
    for (const auto &[arrivedAt, id] : std::exchange(limitedSessions_, {})) {
        Session *session = findSession(id);
        const bool isWaiting = session != nullptr && session->pending && session->pending->awaitsRateLimit
            && session->pending->arrivedAt == arrivedAt;
        if (isWaiting && admitWithinLimit(now, *session)) {
            submit(now, *session);
        }
    }
}

void ProxyCore::sendRateLimitRequests()
{
    for (auto &[holder, request] : rateLimits_.takeRequests()) {
        actions_.emplace_back(SendToEntry { holder, std::move(request) });
    }
}

void ProxyCore::onRateLimitRequest(Instant now, const VmId &from, const RateLimitRequest &request)
{
    actions_.emplace_back(SendToEntry { from, coordinator_.onRequest(now, from, request) });
}

void ProxyCore::onRateLimitGrant(Instant now, const VmId &from, const RateLimitGrant &grant)
{
    if (!rateLimits_.onGrant(now, from, grant)) {
        metrics_.add("rate_limit_grants_ignored_total");
        return;
    }
    retryLimited(now);
}

void ProxyCore::applyCoordinators(Instant now, Instant reportSentAt, const CoordinatorUpdate &update)
{
    for (const CoordinatorTable &table : update.table) {
        if (table.version <= coordinatorTableVersion_) {
            continue;
        }
        coordinatorTableVersion_ = table.version;
        rateLimits_.setHolders(table);
        log_.log(now, "rate-limit.coordinators",
            { { "version", table.version }, { "slots", std::uint64_t { table.holders.size() } } });
    }
    rateLimits_.setEntryCount(now, update.entryCount);
    if (update.lease > std::chrono::milliseconds::zero() && !drain_) {
        coordinator_.setAuthority(now, update.granted, reportSentAt + update.lease);
    }
}

void ProxyCore::fillCoordinatorReport(Instant now, CoordinatorReport &report) const
{
    report.tableVersion = coordinatorTableVersion_;
    report.held = coordinator_.heldSlots(now);
    report.released = releasedSlots_;
}

} // namespace daisyrelay
