// A simulation of one service: three backend servers with a log as the platform describes it, several entries, their
// callers, and random faults. Checks that no read is older than its route permits.
#pragma once

#include "daisyrelay/proxy.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace daisyrelay {

class PositionModel
{
public:
    /// What a new primary does with commits that it had received but not applied. PROTOCOL.md: it "leads the next term
    /// with what it had received, and nothing more", which excludes all but the first.
    enum class Takeover : std::uint8_t {
        AtOnce, ///< Applies all of them before its first response.
        RejectsStatements, ///< Accepts BEGIN and reports what it has applied, but runs nothing until it has applied
                           ///< all.
        RunsReads, ///< The same, but reads run on what it has applied.
    };

    /// Behavior of backend servers that the platform's pages leave open, and the number of entries.
    struct Options {
        std::size_t entries = 3; ///< The first one has connections to all servers.
        bool reportsOwnTerm = false; ///< A new primary reports its term before its first commit.
        bool startsEmpty = false; ///< Replicas may start again under their identifier without a log.
        Takeover takeover = Takeover::AtOnce;
        std::chrono::milliseconds loadInterval { 15 }; ///< Between two callers.
        bool traces = false; ///< Collects lines for trace().
    };

    enum class FaultKind : std::uint8_t {
        Lag, ///< Changes the delays of replication to `server`.
        Promotion, ///< Promotes `server`; the former primary stays alive and receives nothing for a while.
        PlannedPromotion, ///< Promotes `server` after it has received everything.
        CrashAndPromotion, ///< The primary crashes, `server` is promoted, and the former primary returns.
        CrashAndReturn, ///< The primary crashes and leads again after its start.
        EmptyStart, ///< A replica starts again without a log.
        ControlCut, ///< `entry` gets no updates from control.
        Restart, ///< `entry` starts again, possibly with an older topology for a while.
        RestartOfAll, ///< All entries start again at once.
        LateMessages, ///< Messages between entries are late or lost.
        ConnectionLimit, ///< The primary rejects connections of `entry`.
        Stall, ///< `entry` stands still; its inputs are delivered afterwards in order.
        StallAfterBegin, ///< The same right after the entry has sent the next BEGIN of a caller.
        SlowLink, ///< Statements of `entry` to `server` and their responses are late or lost.
        Last,
    };

    struct Fault {
        FaultKind kind = FaultKind::Lag;
        Duration at {}; ///< After the start.
        std::size_t entry = 0;
        std::size_t server = 0;
        Duration first {};
        Duration second {};
    };

    struct Tally {
        std::uint64_t reads = 0; ///< Reads that ran.
        std::uint64_t oldReads = 0; ///< Reads whose log lacked an acknowledged commit, as their route permits.
        std::uint64_t commits = 0;
        std::uint64_t promotions = 0;
        std::uint64_t lagRejections = 0;
        std::uint64_t formerCommits = 0; ///< Commits without writes that a former primary accepted.
        std::uint64_t remotePositions = 0; ///< Positions that entries got from others.
        std::uint64_t restarts = 0;
    };

    static constexpr std::size_t Servers = 3;
    static constexpr Duration RunTime = std::chrono::seconds(14);
    static constexpr std::chrono::milliseconds MaxStaleness = std::chrono::milliseconds(1500);

    PositionModel(std::uint64_t seed, Options options, const std::vector<Fault> &faults);

    /// Draws a list of faults. It depends on nothing else, so that faults can be left out one at a time.
    [[nodiscard]] static std::vector<Fault> drawFaults(std::uint64_t seed, const Options &options);
    [[nodiscard]] static Options drawOptions(std::uint64_t seed);
    [[nodiscard]] static std::string describe(const Fault &fault);

    void run();

    /// \returns a description of each read that was older than its route permits.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] const std::deque<std::string> &trace() const;
    [[nodiscard]] const Tally &tally() const;

private:
    struct Commit {
        std::uint64_t id = 0; ///< Never used again after a rollback.
        Term term = 0;
        Instant at {}; ///< When the server committed it and sent the response.
        std::string backend;
    };

    struct Server {
        std::string name;
        bool isUp = true;
        std::size_t received = 0; ///< Number of commits of the log.
        std::size_t applied = 0;
        Duration receiveLag = std::chrono::milliseconds(5);
        Duration applyLag = std::chrono::milliseconds(5);
        Instant receivesFrom {}; ///< Cut off from the primary until then.
        Instant busyUntil {};
        Instant appliesUntil {}; ///< As a new primary.
    };

    struct Connection {
        std::size_t server = 0;
        bool isInTransaction = false;
        bool isReadOnly = false;
        bool hasFailed = false;
        Term term = 0; ///< Of the primary when the transaction began.
        std::size_t writes = 0;
    };

    struct Input {
        std::uint64_t run = 0; ///< Run of the entry that it is for; zero for any.
        std::function<void(ProxyCore &)> handler;
    };

    struct Entry {
        VmId id;
        EventLog log;
        Metrics metrics;
        std::unique_ptr<ProxyCore> core;
        std::uint64_t run = 0;
        std::array<std::uint32_t, Servers> quotas {};
        Instant stalledUntil {};
        std::deque<Input> inputs; ///< Arrived while the entry stands still.
        Instant cutUntil {};
        Instant outdatedUntil {}; ///< Control has an older topology until then.
        Instant limitedUntil {};
        Duration stallAfterBegin {}; ///< Zero if the next BEGIN changes nothing.
        std::array<Instant, Servers> slowUntil {};
        bool isConfigured = false;

        explicit Entry(EventLog::Sink sink) : log(std::move(sink), 1000)
        {
        }
    };

    struct Caller {
        std::size_t entry = 0;
        std::vector<StatementType> script;
        std::size_t next = 0;
        Instant firstByteAt {}; ///< Of the statement, or of its transaction.
    };

    struct PrimaryChange {
        std::size_t server = 0;
        std::uint64_t generation = 0;
    };

    struct OldRead {
        std::string description;
        std::uint64_t commit = 0; ///< Commit that the log lacked.
    };

    using ConnectionKey = std::tuple<std::size_t, std::uint64_t, ConnectionId>;

    // positionmodel.cpp
    void at(Instant when, std::function<void()> action);
    void note(const std::string &line);
    void deliver(std::size_t entry, std::uint64_t run, std::function<void(ProxyCore &)> handler);
    void perform(std::size_t entry);
    void send(std::size_t from, const SendToEntry &message);
    void openConnection(std::size_t entry, const OpenBackendConnection &request);
    void start(std::size_t entry);
    void tick(std::size_t entry);
    void update(std::size_t entry);
    void startCaller();
    void continueCaller(SessionId session);
    void onResponse(SessionId session, const CallerResponse &response);
    [[nodiscard]] std::chrono::milliseconds drawMs(std::int64_t below);

    // positionmodelservers.cpp
    void runExchange(const ConnectionKey &key, const RunExchange &exchange);
    /// \returns why the server rejects the statement, if it does.
    [[nodiscard]] std::optional<ResponseCode> rejection(const Connection &connection, const Statement &statement);
    [[nodiscard]] bool hasLostLead(const Connection &connection) const;
    BackendResponse runStatement(Connection &connection, const Statement &statement);
    void runRead(const Server &server, const Statement &statement);
    void commit(Connection &connection, BackendResponse &response);
    void advance(Server &server);
    [[nodiscard]] bool leads(const Server &server) const;
    [[nodiscard]] LogPoint position(const Server &server) const;
    [[nodiscard]] bool isChance(double probability);
    void promote(std::size_t server);
    void crash(std::size_t server);
    void breakConnections(const std::function<bool(const ConnectionKey &, const Connection &)> &matches, bool notifies);

    // positionmodelfaults.cpp
    void apply(const Fault &fault);
    void stall(std::size_t entry, Duration duration);
    void restart(std::size_t entry, Duration downTime, Duration outdatedTime);
    void crashPrimary(const Fault &fault);

    Options options_;
    std::mt19937_64 loadRandom_;
    std::mt19937_64 networkRandom_;
    Instant now_ { std::chrono::hours(1) };
    Instant startedAt_ = now_;
    std::multimap<Instant, std::function<void()>> events_;
    std::deque<Entry> entries_;
    std::array<Server, Servers> servers_;
    std::vector<Commit> log_; ///< Of the primary; the others hold a part from its beginning.
    std::size_t primary_ = 0;
    Term term_ = 1;
    std::vector<PrimaryChange> primaries_;
    std::map<ConnectionKey, Connection> connections_;
    std::map<SessionId, Caller> callers_;
    std::map<std::string, Instant> firstBytes_; ///< By identifier of the statement.
    Instant messagesLateUntil_ {};
    std::uint64_t nextId_ = 1;
    std::vector<OldRead> oldReads_;
    std::deque<std::string> trace_;
    Tally tally_;
};

} // namespace daisyrelay
