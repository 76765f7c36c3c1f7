// A hand-written stand-in for what surrounds the control cores: a log that commits at once, a network that delays and
// loses, entries with clocks of their own, and databases that answer or do not.
#pragma once

#include "daisyrelay/control.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace daisyrelay {

/// What a database does when it is asked.
enum class FakeHealth {
    Works,
    Crashed, ///< Refuses connections.
    Silent, ///< Neither answers nor announces.
    Stalled, ///< Announces, but answers nothing.
};

struct FakeDatabase {
    BackendAnnouncement announcement;
    FakeHealth health = FakeHealth::Works;
    std::vector<Term> log; ///< The term of the entry at each position, from position 1.
    Term followed = 0;

    [[nodiscard]] LogPoint point() const
    {
        return log.empty() ? LogPoint {} : LogPoint { log.back(), log.size() };
    }
};

struct FakeEntry {
    std::unique_ptr<LeaseHolder> holder;
    ZoneId zone;
    double rate = 1.0; ///< How fast its clock runs.
    Instant pausedUntil {};
    bool cutOff = false;
    std::vector<BackendView> views;
    std::uint64_t configVersion = 0;
    bool configSteppedBack = false;
    std::map<BackendId, std::uint32_t> used; ///< Connections that it holds.

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
    void changeLeader(int index); ///< -1: nobody leads.
    void restartControl(int index); ///< Comes back from a snapshot.

    [[nodiscard]] const GroupTerm *termOf(int group) const;

    /// Returns the terms in which some entry would acknowledge a write of the group now.
    [[nodiscard]] std::set<Term> acknowledging(int group) const;

    /// Returns the most connections that entries and control may hold of a database now. A stopped process can not
    /// close its sockets when its lease ends, so it counts with its fixed share only; the database refuses the excess.
    [[nodiscard]] std::uint32_t connectionsUsed(const BackendId &backend) const;

    /// Writes to the primary and one other member; the write counts as acknowledged. \returns false if no entry may.
    bool write(int group);

    static GroupKey groupKey(int group);
    static VmId controlId(int index);

    std::mt19937 random;
    Instant now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<ControlCore>> cores;
    std::map<VmId, FakeEntry> entries;
    std::map<BackendId, FakeDatabase> databases;
    std::map<GroupKey, std::vector<LogPoint>> acknowledged;
    bool countBytes = false;
    std::size_t messageBytes = 0; ///< Of leases, both ways, while they are counted.
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
    void perform(int core, const ControlAction &action);
    void answer(int core, const QueryPosition &survey);
    void collect();
    void updateUsed(FakeEntry &entry);
    void replicate(FakeDatabase &database);
    int randomBelow(int limit);

    Term leaderTerm_ = 0;
    std::vector<LogEntry> log_;
    std::multimap<Instant, Message> network_;
    std::multimap<Instant, std::pair<int, PositionQueryResult>> answers_;
    Instant announceAt_ {};
};

} // namespace daisyrelay
