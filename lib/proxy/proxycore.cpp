#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>
#include <array>

namespace daisyrelay {

std::string_view answerCodeName(AnswerCode code)
{
    static constexpr std::array<std::string_view, 13> Names { "ok", "busy", "aborted", "lagging", "not-primary",
        "wrong-backend", "connection-limit", "unknown-statement", "bad-message", "unknown-database", "failed",
        "timed-out", "in-doubt" };
    return Names.at(static_cast<std::size_t>(code));
}

ProxyCore::ProxyCore(ZoneId zone, EventLog &log, Metrics &metrics, std::uint64_t channelBase, ProxyTiming timing)
    : zone_(std::move(zone)), log_(log), metrics_(metrics), timing_(timing), channelBase_(channelBase)
{
}

void ProxyCore::onSessionOpened(Instant now, SessionId id, const std::string &database)
{
    if (configuration_.version == 0) {
        // The configuration is a moment away after a start; a caller that is sent off comes back to another start.
        opening_.push_back({ id, database, now + timing_.openingHold });
        return;
    }
    if (!routes_.contains(database)) {
        log_.log(now, "session.rejected",
            { { "database", std::string_view(database) }, { "config_version", configuration_.version } });
        metrics_.add("sessions_rejected_total");
        actions_.emplace_back(RejectCaller { id, AnswerCode::UnknownDatabase, database });
        return;
    }
    Session &session = sessions_[id];
    session.id = id;
    session.database = database;
    session.lastActive = now;
    actions_.emplace_back(GreetCaller { id });
}

void ProxyCore::onSessionClosed(Instant now, SessionId id)
{
    std::erase_if(opening_, [id](const OpeningSession &opening) { return opening.id == id; });
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    Session &session = found->second;
    endRemotely(session);
    if (session.operation) {
        dequeue(session);
        active_.erase(id);
    }
    const ConnectionId connection = session.operation && session.operation->connection != 0
        ? session.operation->connection
        : (session.transaction ? session.transaction->connection : 0);
    if (const auto at = connections_.find(connection); connection != 0 && at != connections_.end()) {
        BackendPool &pool = *poolOf(at->second);
        BackendConnection &held = *pool.find(connection);
        held.session = 0;
        if (held.use == BackendConnection::Use::Held) {
            cleanUp(now, held);
        }
    }
    sessions_.erase(found);
}

void ProxyCore::drain(Instant now, Duration grace)
{
    if (!drainSince_) {
        drainSince_ = now;
        grace_ = grace;
        log_.log(now, "drain.begin", { { "sessions", std::uint64_t { sessions_.size() } }, { "grace_ms", grace } });
    }
}

bool ProxyCore::ready() const
{
    return configuration_.version > 0 && topology_.index > 0 && !drainSince_ && !isolatedSince_
        && (!homes_.empty()
            || std::any_of(pools_.begin(), pools_.end(), [](const auto &entry) { return entry.second.quota() > 0; }));
}

bool ProxyCore::sendsCallersAway(Instant now) const
{
    const auto noticed
        = [this, now](const std::optional<Instant> &since) { return since && now - *since >= timing_.drainNotice; };
    return noticed(drainSince_) || noticed(isolatedSince_);
}

bool ProxyCore::drained(Instant now) const
{
    if (!drainSince_) {
        return false;
    }
    const Duration passed = now - *drainSince_;
    return passed >= grace_ - timing_.drainReserve / 2 || (passed >= timing_.drainNotice && sessions_.empty());
}

void ProxyCore::fill(Instant now, EntryReport &report) const
{
    report.zone = zone_;
    report.configVersion = configuration_.version;
    report.topologyIndex = topology_.index;
    report.homesVersion = homesVersion_;
    report.leaving = drainSince_.has_value();
    for (const auto &[id, pool] : pools_) {
        const auto open = static_cast<std::uint32_t>(pool.open());
        if (const std::uint32_t held = std::max(pool.quota(), open); held > 0) {
            report.held.push_back({ id, held });
        }
        if (const std::uint32_t wanted = pool.wanted(now); wanted > 0) {
            report.requested.push_back({ id, wanted });
        }
    }
    for (const auto &[id, service] : services_) {
        const BackendPool *pool = poolOf(service.primary.backend);
        if (pool == nullptr || pool->quota() == 0) {
            continue;
        }
        // Only an answer that proves leadership counts; one that no longer leads answers, too.
        const std::optional<Instant> proven = service.freshness.newest();
        constexpr Duration Recent = std::chrono::milliseconds(200);
        report.primaries.push_back(
            { id, service.primary.backend, proven && now - *proven < Recent, pool->unreachable(now) });
    }
}

bool ProxyCore::isBusy() const
{
    return drainSince_ || !active_.empty() || std::any_of(pools_.begin(), pools_.end(), [](const auto &entry) {
        return entry.second.inUse() + entry.second.opening() > 0;
    }) || std::any_of(services_.begin(), services_.end(), [](const auto &entry) {
        return !entry.second.waiting.empty();
    });
}

std::vector<ProxyAction> ProxyCore::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t ProxyCore::sessions() const
{
    return sessions_.size();
}

BackendPool *ProxyCore::poolOf(const BackendId &backend)
{
    const auto found = pools_.find(backend);
    return found == pools_.end() ? nullptr : &found->second;
}

const BackendPool *ProxyCore::poolOf(const BackendId &backend) const
{
    const auto found = pools_.find(backend);
    return found == pools_.end() ? nullptr : &found->second;
}

std::shared_ptr<const DatabaseRoute> ProxyCore::routeOf(const std::string &database) const
{
    const auto found = routes_.find(database);
    return found == routes_.end() ? nullptr : found->second;
}

Session *ProxyCore::find(SessionId session)
{
    const auto found = sessions_.find(session);
    return found == sessions_.end() ? nullptr : &found->second;
}

} // namespace daisyrelay
