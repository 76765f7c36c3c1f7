// The faults of the simulation.
#include "positionmodel.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

using Kind = PositionModel::FaultKind;

PositionModel::Options PositionModel::drawOptions(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 3);
    Options options;
    options.entries = 2 + random() % 2;
    options.reportsOwnTerm = random() % 2 == 0;
    options.startsEmpty = random() % 2 == 0;
    constexpr std::array<std::chrono::milliseconds, 3> LoadIntervals { 10ms, 40ms, 150ms };
    options.loadInterval = LoadIntervals.at(random() % LoadIntervals.size());
    return options;
}

std::vector<PositionModel::Fault> PositionModel::drawFaults(std::uint64_t seed, const Options &options)
{
    std::mt19937_64 random(seed * 3 + 3);
    const auto draw = [&](std::int64_t low, std::int64_t high) -> Duration {
        return std::chrono::milliseconds(
            low + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low)));
    };
    constexpr std::array<std::chrono::milliseconds, 6> Lags { 5ms, 100ms, 800ms, 2s, 5s, 10s };
    const auto drawLag = [&]() { return Lags.at(random() % Lags.size()); };
    std::vector<Fault> faults;
    for (std::size_t server = 0; server < Servers; ++server) {
        faults.push_back({ Kind::Lag, 100ms, 0, server, drawLag(), drawLag() });
    }
    const auto end = std::chrono::duration_cast<std::chrono::milliseconds>(RunTime).count();
    for (Duration at = 500ms + draw(0, 900); at < std::chrono::milliseconds(end - 2000); at += draw(0, 2 * 900)) {
        const std::size_t entry = random() % options.entries;
        const std::size_t server = random() % Servers;
        // Sequences of faults that independent draws rarely produce.
        switch (random() % 9) {
        case 0: // The entry stands still during a promotion and does not learn of it afterwards.
            faults.push_back({ Kind::ControlCut, at, entry, 0, draw(3000, 6000), {} });
            faults.push_back({ random() % 2 == 0 ? Kind::Stall : Kind::StallAfterBegin, at + draw(0, 300), entry, 0,
                draw(1000, 3000), {} });
            faults.push_back({ Kind::Promotion, at + draw(300, 1000), 0, server, draw(0, 6000), {} });
            continue;
        case 1: // Responses to requests of a former run arrive.
            faults.push_back({ Kind::LateMessages, at, 0, 0, draw(1000, 5000), {} });
            faults.push_back({ Kind::Restart, at + draw(0, 500), entry, 0, draw(20, 200), {} });
            faults.push_back({ Kind::Restart, at + draw(800, 2500), entry, 0, draw(20, 200), {} });
            continue;
        case 2: // A home cannot ask the primary while entries start again.
            faults.push_back({ Kind::ConnectionLimit, at, 0, 0, draw(500, 3000), {} });
            faults.push_back({ Kind::Restart, at + draw(0, 2000), entry, 0, draw(20, 200), {} });
            continue;
        case 3: // Transactions are open while the primary is replaced and the entry does not learn of it.
            faults.push_back({ Kind::ControlCut, at, entry, 0, draw(2000, 5000), {} });
            faults.push_back({ Kind::Promotion, at + draw(0, 300), 0, server, draw(0, 6000), {} });
            continue;
        case 4: // Responses of the primary are late at the entry that others ask for positions.
            for (std::size_t slow = 0; slow < Servers; ++slow) {
                faults.push_back({ Kind::SlowLink, at, 0, slow, draw(1000, 4000), {} });
            }
            continue;
        default:
            break;
        }
        Fault fault { static_cast<Kind>(random() % static_cast<std::uint64_t>(Kind::Last)), at, entry, server,
            draw(50, 3000), draw(50, 3000) };
        if (fault.kind == Kind::Lag) {
            fault.first = drawLag();
            fault.second = drawLag();
        } else if (fault.kind == Kind::Restart || fault.kind == Kind::RestartOfAll) {
            fault.first = draw(20, 400);
            fault.second = random() % 2 == 0 ? Duration::zero() : draw(100, 3000);
        } else if (fault.kind == Kind::EmptyStart && !options.startsEmpty) {
            continue;
        }
        faults.push_back(fault);
    }
    return faults;
}

std::string PositionModel::describe(const Fault &fault)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Kind::Last)> Names { "lag", "promotion",
        "planned promotion", "crash and promotion", "crash and return", "empty start", "control cut", "restart",
        "restart of all", "late messages", "connection limit", "stall", "stall after BEGIN", "slow link" };
    const auto ms = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    return ms(fault.at) + " fault: " + std::string(Names.at(static_cast<std::size_t>(fault.kind))) + " entry=e"
        + std::to_string(fault.entry) + " server=b" + std::to_string(fault.server) + " first_ms=" + ms(fault.first)
        + " second_ms=" + ms(fault.second);
}

void PositionModel::apply(const Fault &fault)
{
    note(describe(fault));
    Entry &entry = entries_.at(fault.entry);
    Server &server = servers_.at(fault.server);
    switch (fault.kind) {
    case Kind::Lag:
        advance(server);
        server.receiveLag = fault.first;
        server.applyLag = fault.second;
        break;
    case Kind::Promotion:
        advance(servers_.at(primary_));
        if (server.isUp && fault.server != primary_) {
            servers_.at(primary_).receivesFrom = now_ + fault.first;
            promote(fault.server);
        }
        break;
    case Kind::PlannedPromotion:
        if (server.isUp && servers_.at(primary_).isUp) {
            server.received = log_.size();
            promote(fault.server);
        }
        break;
    case Kind::CrashAndPromotion:
    case Kind::CrashAndReturn:
        crashPrimary(fault);
        break;
    case Kind::EmptyStart:
        if (server.isUp && fault.server != primary_) {
            crash(fault.server);
            at(now_ + 200ms, [this, &server, index = fault.server]() {
                if (index != primary_) {
                    server.received = 0;
                    server.applied = 0;
                }
                server.isUp = true;
            });
        }
        break;
    case Kind::ControlCut:
        entry.cutUntil = std::max(entry.cutUntil, now_ + fault.first);
        break;
    case Kind::Restart:
        restart(fault.entry, fault.first, fault.second);
        break;
    case Kind::RestartOfAll:
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            restart(index, fault.first, fault.second);
        }
        break;
    case Kind::LateMessages:
        messagesLateUntil_ = now_ + fault.first;
        break;
    case Kind::ConnectionLimit:
        entry.limitedUntil = now_ + fault.first;
        breakConnections(
            [this, &fault](const ConnectionKey &key, const Connection &connection) {
                return std::get<0>(key) == fault.entry && connection.server == primary_;
            },
            true);
        break;
    case Kind::Stall:
        stall(fault.entry, fault.first);
        break;
    case Kind::StallAfterBegin:
        entry.stallAfterBegin = fault.first;
        break;
    case Kind::SlowLink:
        entry.slowUntil.at(fault.server) = now_ + fault.first;
        break;
    case Kind::Last:
        break;
    }
}

void PositionModel::stall(std::size_t index, Duration duration)
{
    Entry &entry = entries_.at(index);
    if (!entry.core || now_ < entry.stalledUntil) {
        return;
    }
    note(entry.id.value + " stands still");
    entry.stalledUntil = now_ + duration;
    at(entry.stalledUntil, [this, index]() {
        note(entries_.at(index).id.value + " goes on");
        if (ProxyCore *core = entries_.at(index).core.get(); core != nullptr && isChance(0.5)) {
            core->tick(now_); // Timers may be due before the inputs are read.
            perform(index);
        }
        for (Input &input : std::exchange(entries_.at(index).inputs, {})) {
            deliver(index, input.run, std::move(input.handler));
        }
    });
}

void PositionModel::restart(std::size_t index, Duration downTime, Duration outdatedTime)
{
    Entry &entry = entries_.at(index);
    if (!entry.core) {
        return;
    }
    ++tally_.restarts;
    entry.core.reset();
    breakConnections(
        [index](const ConnectionKey &key, const Connection &) { return std::get<0>(key) == index; }, false);
    std::erase_if(callers_, [index](const auto &caller) { return caller.second.entry == index; });
    at(now_ + downTime, [this, index, outdatedTime]() {
        start(index);
        entries_.at(index).outdatedUntil = now_ + outdatedTime;
        entries_.at(index).cutUntil = now_;
    });
}

void PositionModel::crashPrimary(const Fault &fault)
{
    const std::size_t former = primary_;
    if (!servers_.at(former).isUp) {
        return;
    }
    crash(former);
    if (fault.kind == Kind::CrashAndPromotion) {
        at(now_ + fault.first, [this, fault]() {
            std::size_t chosen = fault.server;
            for (std::size_t index = 0; index < Servers; ++index) {
                advance(servers_.at(index));
                // Control promotes the server with the longest log, or one with less if it reaches no other.
                if (fault.entry != 0 && servers_.at(index).isUp
                    && (!servers_.at(chosen).isUp || servers_.at(index).received > servers_.at(chosen).received)) {
                    chosen = index;
                }
            }
            promote(chosen);
        });
    }
    const Duration downTime = fault.kind == Kind::CrashAndReturn ? fault.first : fault.first + fault.second;
    at(now_ + downTime, [this, former]() {
        servers_.at(former).isUp = true;
        note("return of " + servers_.at(former).name);
    });
}

} // namespace daisyrelay
