// Entries and homes with narrow links in front of backend servers with a few slots. Callers send at a given rate.
#pragma once

#include "daisyrelay/proxy.h"

#include <array>
#include <deque>
#include <functional>
#include <random>

namespace daisyrelay {

class BurstCluster
{
public:
    static constexpr std::size_t Classes = 3;

    /// Operations of one class that were first sent in one phase of the load.
    struct Tally {
        int sent = 0;
        int onTime = 0; ///< Answered within the latency target of the route.
        int late = 0;
        int refused = 0; ///< Refusals, including those of operations that were sent again.
        int slowRefusals = 0; ///< Refusals that took longer than 10 ms plus two round trips over the links.
        int other = 0; ///< Any other response.
    };
    using Tallies = std::array<Tally, Classes>;

    struct Vm {
        VmId id;
        EventLog log { [](std::string_view) {} };
        Metrics metrics;
        std::unique_ptr<ProxyCore> core;
        Instant outgoingFreeAt {};
        Instant incomingFreeAt {};
        bool isDead = false;
        std::vector<SessionId> idleSessions;
        SessionId nextSession = 1;
    };

    struct Server {
        int slots = 5;
        int running = 0;
        bool isDead = false;
        std::deque<std::function<void()>> queue;
        std::uint64_t statementsRun = 0;
        std::uint64_t rejections = 0;
        std::uint64_t attempts = 0; ///< Statements that reached the server and attempts to connect.
    };

    Instant now { std::chrono::hours(1) };
    std::deque<Vm> vms; ///< The entries of callers, then the homes, two for each server.
    std::map<std::string, Server> servers;
    std::map<std::string, int> runCounts; ///< How often each write ran.
    /// Changes or drops a message between two VMs; returns whether it is delivered and after which extra delay.
    std::function<std::optional<Duration>(const VmId &from, SendToEntry &message)> intercept;
    int startedAfterLeaving = 0; ///< Statements that reached a server 30 ms or more after their caller had left.
    double leavingFraction = 0; ///< Fraction of the callers that close their session 40 ms after a statement.

    BurstCluster(std::size_t entries, std::uint32_t seed);

    /// Sends \p statementsPerSecond for \p duration. The tallies continue to change until all responses have arrived.
    std::shared_ptr<const Tallies> load(double statementsPerSecond, Duration duration, bool awaitsAll = false);
    void run(Duration duration);
    void kill(const VmId &id);
    [[nodiscard]] std::uint64_t metric(const std::string &name) const;

    [[nodiscard]] static int sum(const Tallies &tallies, int Tally::*member);
    [[nodiscard]] static std::string describe(const std::string &name, const Tallies &tallies);

private:
    struct Operation {
        std::size_t entry = 0;
        std::size_t priority = 0;
        Instant sentAt {};
        int attempts = 0;
        bool isWrite = false;
        std::shared_ptr<Tallies> tallies;
    };

    void at(Instant when, std::function<void()> action);
    void tick(std::size_t index);
    void sendOperation(Operation operation);
    void onResponse(std::size_t entry, SessionId session, const CallerResponse &response);
    void perform(std::size_t index);
    void deliver(std::size_t from, SendToEntry message);
    void receive(std::size_t to, const VmId &from, const SendToEntry &message);
    void runExchange(std::size_t vm, const RunExchange &exchange);
    void startStatement(const std::string &server, std::function<void()> done);
    Instant passLink(Instant &freeAt, Instant from, std::size_t bytes) const;
    std::size_t indexOf(const VmId &id) const;

    std::multimap<Instant, std::function<void()>> events_;
    std::map<std::pair<std::size_t, ConnectionId>, std::string> connections_;
    std::map<std::pair<std::size_t, SessionId>, Operation> operations_;
    std::mt19937 random_;
    std::map<std::string, Instant> leftAt_; ///< When the caller of a statement left.
    std::uint64_t nextId_ = 1;
    std::size_t entries_;
};

} // namespace daisyrelay
