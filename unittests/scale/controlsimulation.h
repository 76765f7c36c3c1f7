// One control leader and many entries on simulated links, without sockets. Counts bytes, messages and connections.
#pragma once

#include "daisyrelay/proxy.h"
#include "daisyrelay/supervision.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisyrelay {

/// Size of a simulated system.
struct ControlSize {
    std::size_t entries = 95;
    std::size_t services = 333; ///< Each with three backend servers.
    std::size_t routesPerService = 3;
    std::size_t linkBytesPerSecond = 250000; ///< Bandwidth of the link of an entry: 2 Mbit/s.
};

/// Traffic of one VM.
struct LinkUsage {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

class ControlSimulation
{
public:
    explicit ControlSimulation(const ControlSize &size);

    /// Advances the time. Each entry runs \p statementsPerSecond statements on random services.
    void run(Duration duration, std::size_t statementsPerSecond = 0);

    void putConfiguration(std::uint64_t version, std::chrono::milliseconds timeout);

    /// Starts a new run of an entry.
    void restartEntry(std::size_t index);

    /// Makes the leader forget what it does not replicate, as a newly elected one.
    void changeLeader();

    [[nodiscard]] std::size_t entriesWithConfiguration(std::uint64_t version) const;
    [[nodiscard]] std::size_t entriesWithTopology() const;
    [[nodiscard]] std::size_t readyEntries() const;

    /// Forgets what has been counted so far.
    void resetCounts();

    LinkUsage control; ///< Sent and received by the leader.
    std::vector<LinkUsage> entryUsage;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsRefused = 0; ///< Attempts beyond the limit of a backend server.
    std::uint64_t probes = 0;
    std::uint64_t statementsOk = 0;
    std::uint64_t statementsFailed = 0;
    Supervisor &supervisor();

private:
    struct Entry {
        VmId id;
        std::unique_ptr<ProxyCore> core;
        std::uint64_t runId = 1;
        std::uint64_t sequence = 0;
        Instant reportDueAt {};
        Instant linkFreeAt {}; ///< When the link has transmitted all messages sent so far.
        std::map<ConnectionId, std::size_t> connections; ///< Index of the backend server.
        std::map<ConnectionId, bool> inTransaction;
        std::map<std::string, SessionId> sessions; ///< By database.
        SessionId nextSession = 1;
    };

    void schedule(Instant at, std::function<void()> action);
    void startEntry(std::size_t index);
    Instant transmit(Entry &entry, std::size_t index, std::size_t bytes);
    void sendReport(std::size_t index);
    void performControlActions();
    void performEntryActions(std::size_t index);
    void runExchange(std::size_t index, const RunExchange &exchange);
    void forward(std::size_t index, const SendToEntry &message);
    void sendHeartbeats();
    void sendStatement(std::size_t index);

    ControlSize size_;
    Instant now_ { std::chrono::hours(1) };
    EventLog log_ { [](std::string_view) {}, 0 };
    Metrics metrics_;
    std::unique_ptr<Supervisor> supervisor_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::size_t> connectionCounts_; ///< Open connections of each backend server.
    std::multimap<Instant, std::function<void()>> events_;
    std::mt19937_64 random_ { 7 };
    std::uint64_t logIndex_ = 0;
    std::uint64_t heartbeatSequence_ = 0;
    Term term_ = 1;
    std::uint64_t nextId_ = 1;
    std::size_t nextHeartbeat_ = 0;
};

} // namespace daisyrelay
