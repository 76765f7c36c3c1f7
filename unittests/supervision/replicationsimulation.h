// A leader of control and one service whose commits wait for a replica, in simulated time and with faults. Checks that
// each promoted server holds every acknowledged commit.
#pragma once

#include "daisyrelay/supervision.h"
#include "replicationentry.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace daisyrelay {

/// Which faults a ReplicationSimulation draws.
enum class ReplicationFaults : std::uint8_t {
    AnyServer, ///< A server that restarts remembers its pause; no server is new.
    ReplicasThatForget, ///< As AnyServerForgets, but the primary runs and can be reached until it is replaced, and the
                        ///< platform answers in time.
    AnyServerForgets, ///< A server that restarts receives from the primary at once, and a primary that has stepped down
                      ///< leads again, even if a promotion is under way. New servers start at any time. Entries
                      ///< write, so that a commit counts as acknowledged once an entry has acknowledged it; they are
                      ///< suspended and cut off from control.
    AnyServerOrZone, ///< As AnyServerForgets. Besides, a zone is cut off with its servers and its entry, and calls of
                     ///< the platform are carried out up to twelve seconds late.
    HomesAndLeavers, ///< As AnyServerOrZone, with so many entries that homes hold the connections. Besides, servers
                     ///< leave and run on for a while, since the response to their request was lost.
};

class ReplicationSimulation
{
public:
    ReplicationSimulation(
        std::size_t servers, std::uint64_t seed, ReplicationFaults faults = ReplicationFaults::AnyServer);

    /// Runs for \p duration with faults drawn from the seed, then for a time without.
    void run(Duration duration);

    bool requiresReceipts = true; ///< Whether entries obey CommitReceipts.
    std::string violation;
    std::size_t promotionCount = 0;
    std::size_t acknowledgedCommits = 0;
    std::size_t commitsInLastSeconds = 0; ///< Acknowledged in the last two seconds, without faults.

private:
    struct Server {
        std::string name;
        int zone = 0;
        std::int64_t startedAtMs = 1;
        bool isUp = true;
        bool isDraining = false;
        bool hasLeft = false; ///< Sends no heartbeats any more.
        bool reachesControl = true;
        bool receives = true; ///< Whether the network passes on commits of the primary.
        bool hasSteppedDown = false;
        Instant heartbeatsFrom {}; ///< The first heartbeat arrives at this time or later.
        Term term = 1; ///< Of the primary that it follows or is.
        Term pauseTerm = 0; ///< While set, no primary of a lower term is followed.
        std::vector<std::uint64_t> log; ///< Numbers of commits.
    };

    void schedule(Duration delay, std::function<void()> action);
    int draw(int limit);
    bool holdsOneIn(int limit);
    void step();
    void replicate();
    void restart(Server &server);
    void startServer();
    void sendHeartbeat(std::size_t index);
    void sendHeartbeats();
    void drawFault();
    void endFaults();
    void changeLeader();
    void performActions();
    void performAction(const SupervisionAction &action);
    void respondToProbe(const ProbeBackend &probe);
    void callPlatform(const PromoteThroughPlatform &call);
    void promote(std::size_t index, std::uint64_t token);
    Server *find(const BackendId &backend);
    static ServiceId backendService();

    // replicationentries.cpp
    [[nodiscard]] bool hasEntries() const;
    [[nodiscard]] bool hasCutsAndLateCalls() const;
    [[nodiscard]] bool canReach(int one, int other) const;
    [[nodiscard]] bool reachesControl(const Server &server) const;
    void addEntries();
    void deliver(ReplicationEntry &entry, Duration delay, std::function<void()> action);
    [[nodiscard]] ReplicationEntry::ServerState stateOf(const Server &server) const;
    void sendReports();
    void sendUpdate(const SendEntryUpdate &message);
    void acknowledgeToEntry(std::uint64_t commit, std::size_t position);
    void stepEntries();
    void requestReceipts(ReplicationEntry &entry, const Server &server);
    void drawEntryFault(Duration lasting);
    [[nodiscard]] ReplicationEntry *writerOf(std::uint64_t commit, const Server &primary);
    void drain(std::size_t index);
    void awaitDrain(std::size_t index, Instant drainingSince);
    void leave(std::size_t index);

    static constexpr Duration StepTime = std::chrono::milliseconds(5);
    static constexpr int ControlZone = -1;

    Instant now_ { std::chrono::hours(1) };
    std::mt19937_64 random_;
    ReplicationFaults faults_;
    EventLog log_ { [](std::string_view) {} };
    Metrics metrics_;
    Supervisor supervisor_ { log_, metrics_, 1 };
    std::multimap<Instant, std::function<void()>> events_;
    std::deque<Server> servers_; ///< Servers that are added leave the others where they are.
    std::size_t primary_ = 0;
    Term term_ = 1;
    std::uint64_t highestToken_ = 0;
    std::vector<Term> commitTerms_ { 0 }; ///< Of each commit; numbers of commits begin at one.
    std::set<std::uint64_t> acknowledged_;
    std::uint64_t lastReceived_ = 0; ///< Last commit that the primary has acknowledged to an entry.
    std::deque<ReplicationEntry> entries_;
    std::optional<int> cutZone_;
    std::uint64_t index_ = 0;
    Term leaderTerm_ = 1;
    bool isLeading_ = true;
    bool losesProbes_ = false;
    bool answersLate_ = false;
    std::uint64_t sequence_ = 0;
    std::int64_t nextStart_ = 2;
};

} // namespace daisyrelay
