// Two control VMs, three entries and the databases of one service in simulated time, with faults. Checks that no commit
// of a former primary is acknowledged, that confirmed reads miss no acknowledged commit, and that fencing tokens never
// fall.
#pragma once

#include "fakeplatform.h"

#include <memory>
#include <queue>

namespace daisyrelay {

class FencingSimulation
{
public:
    /// \p platformFences chooses the kind of databases, \p policy the way in which the product fences. If \p upgrades,
    /// the VMs announce no format versions at first, as earlier builds, and begin to do so one after the other; some
    /// return to the earlier build before its version is replaced.
    FencingSimulation(bool platformFences, FencingPolicy policy, std::uint64_t seed, bool upgrades = false);

    /// Runs for \p duration with faults drawn from the seed, after two seconds and before five seconds without.
    void run(Duration duration);

    [[nodiscard]] const std::string &violation() const;

    std::size_t acknowledgedWrites = 0;
    std::size_t confirmedReads = 0;
    std::size_t writesInLastSeconds = 0; ///< Acknowledged in the last two seconds, without faults.

    /// Whether all VMs use the current format version.
    [[nodiscard]] bool isUpgraded() const;

    [[nodiscard]] const FakePlatform &platform() const
    {
        return platform_;
    }

private:
    struct Vm {
        std::string name;
        bool isSuspended = false;
        std::vector<std::function<void()>> inbox; ///< Inputs that wait for the end of a suspension.
        std::set<std::string> cuts; ///< Names of VMs and databases that cannot be reached.
    };

    struct Control : Vm {
        std::unique_ptr<Supervisor> supervisor;
        std::uint64_t appliedIndex = 0;
        Instant leaseUntil {}; ///< While this VM leads, no other one can be elected before this time.
    };

    struct Connection {
        std::string database;
        bool inTransaction = false;
    };

    struct Entry : Vm {
        std::unique_ptr<ProxyCore> core;
        std::map<ConnectionId, Connection> connections;
        std::set<SessionId> accepted;
        std::map<SessionId, Instant> sentAt; ///< Time of the statement in progress of each session.
        std::map<SessionId, std::optional<std::uint64_t>> commitOf;
        std::map<SessionId, std::vector<std::uint64_t>> logSeen;
        std::uint64_t runId = 0; ///< Also the base of the session identifiers of the core.
        std::uint64_t reportSequence = 0;
        std::uint64_t leader = 0;
        Instant lastReportAt {};
    };

    void schedule(Duration delay, std::function<void()> action);
    void deliver(Vm &to, const std::string &from, Duration delay, std::function<void()> action);
    void step();
    void drawFault();
    /// Lets the VM \p name run the current build or an earlier one.
    void setAnnouncing(const std::string &name, bool isAnnouncing);
    void replaceBuild();
    void elect();
    bool isLeader(const Control &control) const;
    void applyLog(Control &control);
    void performControlActions(Control &control);
    void performControlAction(Control &control, const SupervisionAction &action);
    void respondToProbe(Control &control, const ProbeBackend &probe);
    void callPlatform(Control &control, const PromoteThroughPlatform &call);
    void sendReport(Entry &entry);
    void performEntryActions(Entry &entry);
    void runExchange(Entry &entry, const RunExchange &exchange);
    BackendResponse runStatement(Entry &entry, Connection &connection, const Statement &statement);
    void sendStatements(Entry &entry);
    void checkResponse(Entry &entry, const SendResponse &response);

    static constexpr Duration NetworkDelay = std::chrono::milliseconds(2);
    static constexpr SessionId WriteSession = 1;
    static constexpr SessionId ReadSession = 2;

    Instant now_ { std::chrono::hours(1) };
    FencingPolicy policy_;
    std::mt19937_64 random_;
    std::multimap<Instant, std::function<void()>> events_;
    EventLog log_ { [](std::string_view) {} };
    Metrics metrics_;
    FakePlatform platform_;
    std::vector<LogEntry> entries_; ///< The replicated log.
    std::vector<std::unique_ptr<Control>> controls_;
    std::vector<std::unique_ptr<Entry>> vms_;
    std::optional<std::size_t> leader_;
    Term term_ = 0;
    bool upgrades_;
    std::set<std::string> announcing_; ///< VMs that run the current build.
    bool hasFaults_ = false;
    bool answersLate_ = false;
    std::uint64_t heartbeatSequence_ = 0;
    std::uint64_t nextStatement_ = 1;
    std::string violation_;
};

} // namespace daisyrelay
