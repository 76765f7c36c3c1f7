// A simulated environment for control cores: a log that commits immediately, a network with delay and loss, entries
// with their own clocks, and databases that can fail.
#pragma once

#include "daisyrelay/control.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace daisyrelay {

/// The way in which a database fails.
enum class FakeHealth {
    Healthy,
    Crashed, ///< Refuses connections.
    Silent, ///< Neither responds nor announces itself.
    Stalled, ///< Announces itself, but does not respond.
};

struct FakeDatabase {
    BackendAnnouncement announcement;
    FakeHealth health = FakeHealth::Healthy;
    std::vector<Instant> heardFrom; ///< Time from which each control VM receives the announcements; empty: always.
    std::vector<Term> log; ///< Term of the entry at each position, starting with position 1.
    Term followed = 0; ///< Highest term in which the database was promoted or instructed to follow a primary.

    [[nodiscard]] LogPoint point() const
    {
        return log.empty() ? LogPoint {} : LogPoint { log.back(), log.size() };
    }
};

struct FakeEntry {
    std::unique_ptr<LeaseHolder> holder;
    ZoneId zone;
    double rate = 1.0; ///< Speed of the entry's clock relative to the system.
    Instant pausedUntil {};
    bool isIsolated = false;
    std::vector<BackendView> views;
    std::uint64_t configVersion = 0;
    bool hasConfigRegressed = false;
    std::map<BackendId, std::uint32_t> used; ///< Connections that the entry holds.

    [[nodiscard]] Instant clock(Instant now) const
    {
        return Instant(std::chrono::duration_cast<Duration>(now.time_since_epoch() * rate));
    }
};

class FakeSystem
{
public:
    FakeSystem(std::uint32_t seed, int controlVms, int entries);

    void addEntry();
    BackendId addDatabase(int group, int zone, std::uint32_t connections = 16);
    void run(Duration duration);
    void changeLeader(int index); ///< -1 for no leader.
    void restartControl(int index); ///< Restarts the control VM from a snapshot.

    [[nodiscard]] const GroupTerm *termOf(int group) const;

    /// Returns the terms in which some entry would acknowledge a write of the group now.
    [[nodiscard]] std::set<Term> acknowledgingTerms(int group) const;

    /// Returns the maximum number of connections that entries and control may hold to a database now. A suspended
    /// process cannot close its sockets when its lease ends, so it counts with its fixed share only; the database
    /// rejects the excess.
    [[nodiscard]] std::uint32_t connectionsUsed(const BackendId &backend) const;

    /// Writes to the primary and one other member, after which the write counts as acknowledged. \returns false if no
    /// entry may acknowledge it.
    bool write(int group);

    static GroupKey groupKey(int group);
    static VmId controlId(int index);

    std::mt19937 random;
    Instant now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<ControlCore>> cores;
    std::map<VmId, FakeEntry> entries;
    std::map<BackendId, FakeDatabase> databases;
    std::map<GroupKey, std::vector<LogPoint>> acknowledged;
    bool shouldCountBytes = false;
    std::size_t messageBytes = 0; ///< Size of all lease messages in both directions while shouldCountBytes is set.
    int maxDelayMs = 20;
    int lossPercent = 0;
    int leader = -1;

private:
    struct Message {
        VmId from;
        VmId to;
        PeerPayload payload;
    };

    void step();
    void send(const VmId &from, const VmId &to, PeerPayload payload);
    void deliver(const Message &message);
    void performAction(int core, const ControlAction &action);
    void respond(int core, const QueryPosition &query);
    void performAllActions();
    void updateConnections(FakeEntry &entry);
    void replicate(FakeDatabase &database);
    int randomBelow(int limit);

    Term leaderTerm_ = 0;
    std::vector<LogEntry> log_;
    std::multimap<Instant, Message> network_;
    std::multimap<Instant, std::pair<int, PositionQueryResult>> responses_;
    Instant announceAt_ {};
};

} // namespace daisyrelay
