#include "fencingsimulation.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };
static constexpr Duration ElectionDelay = 500ms;

/// An activation must take place within the simulated time.
static SupervisionTiming timing()
{
    SupervisionTiming timing;
    timing.formatActivationDelay = 1s;
    return timing;
}

FencingSimulation::FencingSimulation(bool platformFences, FencingPolicy policy, std::uint64_t seed, bool upgrades)
    : policy_(policy)
    , random_(seed)
    , platform_(
          platformFences, [this](Duration delay, std::function<void()> action) { schedule(delay, std::move(action)); },
          seed)
    , upgrades_(upgrades)
{
    for (const char *name : { "c0", "c1" }) {
        auto control = std::make_unique<Control>();
        control->name = name;
        control->supervisor
            = std::make_unique<Supervisor>(log_, metrics_, controls_.size() * 1000000 + 1, timing(), policy);
        controls_.push_back(std::move(control));
    }
    for (const char *name : { "e0", "e1", "e2" }) {
        auto entry = std::make_unique<Entry>();
        entry->name = name;
        entry->runId = 1000 * (vms_.size() + 1);
        entry->core = std::make_unique<ProxyCore>(
            ZoneId { std::string("z") + name[1] }, log_, metrics_, entry->runId, ProxyTiming {}, policy);
        entry->core->onSessionOpened(now_, WriteSession, "db");
        entry->core->onSessionOpened(now_, ReadSession, "db");
        vms_.push_back(std::move(entry));
    }
    for (const char *name : { "c0", "c1", "e0", "e1", "e2" }) {
        setAnnouncing(name, !upgrades);
    }
    elect();
    controls_.front()->supervisor->tick(now_);
    performControlActions(*controls_.front());
    PutConfiguration change;
    change.configuration.version = 1;
    change.configuration.services.push_back({ Service, 16, 0 });
    DatabaseRoute route;
    route.database = "db";
    route.service = Service;
    route.guarantee = ReadGuarantee::Primary;
    route.timeout = 1500ms;
    route.latencyTarget = 200ms;
    change.configuration.routes.push_back(route);
    controls_.front()->supervisor->onRequest(now_, 1, change);
    performControlActions(*controls_.front());
}

void FencingSimulation::setAnnouncing(const std::string &name, bool isAnnouncing)
{
    if (isAnnouncing) {
        announcing_.insert(name);
    } else {
        announcing_.erase(name);
    }
    for (const auto &control : controls_) {
        control->supervisor->recordPeerFormat(
            VmId { name }, isAnnouncing ? std::optional(FormatRange {}) : std::nullopt);
    }
}

void FencingSimulation::replaceBuild()
{
    const std::vector<std::string> names { "c0", "c1", "e0", "e1", "e2" };
    const std::string &name = names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
    constexpr int ReturnsOneIn = 5;
    const bool returns = std::uniform_int_distribution<int>(1, ReturnsOneIn)(random_) == 1;
    // After the activation an earlier build does not start any more.
    if (const bool isActive = controls_.front()->supervisor->state().activeFormat() > 0; !isActive) {
        setAnnouncing(name, !returns);
    }
}

bool FencingSimulation::isUpgraded() const
{
    return std::all_of(controls_.begin(), controls_.end(), [](const auto &control) {
        return control->supervisor->state().activeFormat() == CurrentFormat
            && (control->supervisor->state().areLeaseHoldersComplete());
    });
}

const std::string &FencingSimulation::violation() const
{
    return platform_.violation.empty() ? violation_ : platform_.violation;
}

void FencingSimulation::schedule(Duration delay, std::function<void()> action)
{
    events_.emplace(now_ + delay, std::move(action));
}

// A suspended VM handles its inputs when it wakes.
void FencingSimulation::deliver(Vm &to, const std::string &from, Duration delay, std::function<void()> action)
{
    if (to.cuts.contains(from)) {
        return;
    }
    schedule(delay, [&to, action = std::move(action)]() {
        if (to.isSuspended) {
            to.inbox.push_back(action);
        } else {
            action();
        }
    });
}

void FencingSimulation::run(Duration duration)
{
    constexpr Duration StartupTime = 2s;
    const Instant faultsBegin = now_ + StartupTime;
    const Instant faultsEnd = faultsBegin + duration;
    const Instant end = faultsEnd + 5s;
    for (; now_ < end && violation().empty(); now_ += 1ms) {
        hasFaults_ = now_ >= faultsBegin && now_ < faultsEnd;
        if (now_ == faultsEnd) {
            answersLate_ = false;
            for (const char *name : { "c0", "c1", "e0", "e1", "e2" }) {
                setAnnouncing(name, true);
            }
            platform_.cuts.clear();
            for (auto &[name, database] : platform_.databases) {
                database.isUp = true;
            }
            for (const auto &control : controls_) {
                control->cuts.clear();
            }
            for (const auto &entry : vms_) {
                entry->cuts.clear();
            }
        }
        const std::size_t before = acknowledgedWrites;
        step();
        writesInLastSeconds += now_ > end - 2s ? acknowledgedWrites - before : 0;
    }
}

void FencingSimulation::step()
{
    while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    constexpr Duration TickInterval = 10ms;
    if (now_.time_since_epoch() % TickInterval != Duration::zero()) {
        return;
    }
    platform_.tick(now_);
    elect();
    constexpr Duration FaultInterval = 150ms;
    if (hasFaults_ && now_.time_since_epoch() % FaultInterval == Duration::zero()) {
        drawFault();
    }
    constexpr Duration ReplacementInterval = 400ms;
    if (upgrades_ && hasFaults_ && now_.time_since_epoch() % ReplacementInterval == Duration::zero()) {
        replaceBuild();
    }
    for (const auto &control : controls_) {
        if (control->isSuspended) {
            continue;
        }
        applyLog(*control);
        control->supervisor->onLeadership(now_, isLeader(*control), term_, { VmId { "c0" }, VmId { "c1" } });
        control->supervisor->tick(now_);
        performControlActions(*control);
    }
    for (const auto &entry : vms_) {
        if (entry->isSuspended) {
            continue;
        }
        constexpr Duration ReportInterval = 200ms;
        if (now_ - entry->lastReportAt >= ReportInterval) {
            sendReport(*entry);
        }
        entry->core->tick(now_);
        sendStatements(*entry);
        performEntryActions(*entry);
    }
    constexpr Duration HeartbeatInterval = 500ms;
    if (leader_ && !controls_[*leader_]->isSuspended
        && now_.time_since_epoch() % HeartbeatInterval == Duration::zero()) {
        ++heartbeatSequence_;
        for (const auto &[name, database] : platform_.databases) {
            BackendHeartbeat heartbeat { { BackendId { name }, 1, Service, name, 80, ZoneId { "z" + name.substr(1) }, 2,
                                             false, database.isPrimary },
                heartbeatSequence_ };
            if (database.isUp && isLeader(*controls_[*leader_])) {
                controls_[*leader_]->supervisor->onRequest(now_, heartbeatSequence_, heartbeat);
                performControlActions(*controls_[*leader_]);
            }
        }
    }
}

void FencingSimulation::drawFault()
{
    const auto draw = [this](int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); };
    const auto name = [](char kind, int index) { return std::string(1, kind) + std::to_string(index); };
    const Duration lasting = std::chrono::milliseconds(100 + draw(5000));
    Vm &vm = draw(2) == 0 ? static_cast<Vm &>(*controls_[draw(2)]) : static_cast<Vm &>(*vms_[draw(3)]);
    switch (draw(9)) {
    case 0: {
        vm.isSuspended = true;
        schedule(lasting / 2, [&vm]() {
            vm.isSuspended = false;
            for (const auto &action : std::exchange(vm.inbox, {})) {
                action();
            }
        });
        break;
    }
    case 1: {
        const std::string other = draw(2) == 0 ? name('b', draw(3)) : name(vm.name.front() == 'c' ? 'e' : 'c', draw(2));
        vm.cuts.insert(other);
        schedule(lasting, [&vm, other]() { vm.cuts.erase(other); });
        break;
    }
    case 2: {
        const std::string one = name('b', draw(3));
        const std::string two = name('b', draw(3));
        platform_.cuts.insert({ one, two });
        platform_.cuts.insert({ two, one });
        schedule(lasting, [this, one, two]() {
            platform_.cuts.erase({ one, two });
            platform_.cuts.erase({ two, one });
        });
        break;
    }
    case 3: {
        const std::string crashed = name('b', draw(3));
        platform_.databases[crashed].isUp = false;
        schedule(lasting, [this, crashed]() {
            platform_.databases[crashed].isUp = true;
            // The server returns as a replica if another one was promoted meanwhile.
            for (const auto &[other, database] : platform_.databases) {
                if (database.term > platform_.databases[crashed].term) {
                    platform_.databases[crashed].isPrimary = false;
                }
            }
        });
        break;
    }
    case 4: {
        const std::string primary = platform_.primary();
        for (const auto &control : controls_) {
            control->cuts.insert(primary);
            schedule(lasting, [&control, primary]() { control->cuts.erase(primary); });
        }
        break;
    }
    case 5:
        answersLate_ = true;
        schedule(lasting, [this]() { answersLate_ = false; });
        break;
    default:
        break;
    }
}

// The leader renews its own lease while it runs; another VM can take over only after it has expired.
void FencingSimulation::elect()
{
    if (leader_ && !controls_[*leader_]->isSuspended) {
        controls_[*leader_]->leaseUntil = now_ + ElectionDelay;
        return;
    }
    if (leader_ && now_ < controls_[*leader_]->leaseUntil) {
        return;
    }
    for (std::size_t index = 0; index < controls_.size(); ++index) {
        if (!controls_[index]->isSuspended) {
            leader_ = index;
            ++term_;
            controls_[index]->leaseUntil = now_ + ElectionDelay;
            applyLog(*controls_[index]);
            controls_[index]->supervisor->onLeadership(now_, true, term_, { VmId { "c0" }, VmId { "c1" } });
            return;
        }
    }
}

bool FencingSimulation::isLeader(const Control &control) const
{
    return leader_ && controls_[*leader_].get() == &control && now_ < control.leaseUntil;
}

void FencingSimulation::applyLog(Control &control)
{
    while (control.appliedIndex < entries_.size()) {
        control.supervisor->onCommitted(now_, LogEntry(entries_[control.appliedIndex++]));
    }
}

void FencingSimulation::performControlActions(Control &control)
{
    for (std::vector<SupervisionAction> actions = control.supervisor->takeActions(); !actions.empty();
         actions = control.supervisor->takeActions()) {
        for (const SupervisionAction &action : actions) {
            performControlAction(control, action);
        }
    }
}

void FencingSimulation::performControlAction(Control &control, const SupervisionAction &action)
{
    if (const auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
        if (isLeader(control)) {
            entries_.push_back(
                { term_, entries_.size() + 1, encodeSupervisionCommand(proposal->command), LogEntryKind::Command });
            applyLog(control);
        }
    } else if (const auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
        for (const auto &entry : vms_) {
            if (entry->name == update->entry.value && !control.cuts.contains(entry->name)) {
                deliver(*entry, control.name, NetworkDelay, [this, &entry = *entry, message = update->update]() {
                    entry.core->onControlUpdate(now_, message);
                    performEntryActions(entry);
                });
            }
        }
    } else if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
        respondToProbe(control, *probe);
    } else if (const auto *promotion = std::get_if<PromoteThroughPlatform>(&action); promotion != nullptr) {
        schedule(NetworkDelay, [this, &control, call = *promotion]() { callPlatform(control, call); });
    }
}

void FencingSimulation::callPlatform(Control &control, const PromoteThroughPlatform &call)
{
    if (control.isSuspended) {
        control.inbox.emplace_back([this, &control, call]() { callPlatform(control, call); });
        return;
    }
    PromotionOutcome outcome = PromotionOutcome::RateLimited;
    if (isLeader(control) && term_ == call.leaderTerm) {
        outcome = platform_.promote(now_, call, answersLate_);
    }
    const Duration delay = outcome == PromotionOutcome::Unknown ? Duration(1s) : NetworkDelay;
    deliver(control, "platform", delay, [this, &control, call, outcome]() {
        control.supervisor->onPromotion(now_, call.service, call.fencingToken, outcome);
        performControlActions(control);
    });
}

void FencingSimulation::respondToProbe(Control &control, const ProbeBackend &probe)
{
    FakePlatform::Database &database = platform_.databases[probe.backend.id.value];
    ProbeOutcome outcome;
    outcome.probeId = probe.probeId;
    Duration delay = probe.timeout;
    if (!control.cuts.contains(probe.backend.id.value)) {
        delay = 2 * NetworkDelay;
        if (!database.isUp) {
            outcome.result = ProbeResult::Refused;
        } else if (probe.kind == ProbeKind::Role) {
            outcome.result = database.isPrimary ? ProbeResult::IsPrimary : ProbeResult::IsReplica;
            outcome.term = platform_.endOf(database).term;
        } else {
            if (probe.kind == ProbeKind::StepDown && database.term < probe.pauseTerm) {
                database.isPrimary = false;
            }
            outcome.result = ProbeResult::Responded;
            outcome.term = database.term;
            outcome.ownTerm = database.term;
            outcome.received = platform_.endOf(database);
            outcome.claimsPrimary = database.isPrimary;
        }
    }
    deliver(control, "", delay, [this, &control, outcome]() {
        control.supervisor->onProbe(now_, outcome);
        performControlActions(control);
    });
}

} // namespace daisyrelay
