// A leader of control and an entry whose servers send heartbeats, while another writer sends odd ones.
#pragma once

#include "daisyrelay/proxy.h"
#include "daisyrelay/supervision.h"

#include <random>

namespace daisyrelay {

class OddEntriesSystem
{
public:
    explicit OddEntriesSystem(std::uint64_t seed);

    /// Runs for \p duration; with \p sendsOddEntries one odd request arrives every 20 ms.
    void run(Duration duration, bool sendsOddEntries);

    /// Returns the servers that are not recorded as they are.
    [[nodiscard]] std::vector<std::string> missingServers() const;

    std::size_t requestCount = 0;
    std::size_t answeredReads = 0;
    std::size_t refusedReads = 0;

private:
    struct Server {
        std::string id;
        std::string service;
        std::string host;
        std::int64_t born = 0;
        std::uint64_t sequence = 0;
        bool isPrimary = false;
    };

    [[nodiscard]] int draw(int limit);
    [[nodiscard]] const Server *find(const BackendRecord &record) const;
    [[nodiscard]] std::string drawNumber();
    [[nodiscard]] std::string drawText();
    void post(const std::string &target, const std::string &body);
    void sendHeartbeat(Server &server);
    void sendOddEntry();
    void sendReads();
    void exchangeReport();
    void performControlActions();
    void performEntryActions();
    void respondToProbe(const ProbeBackend &probe);
    void runExchange(const RunExchange &exchange);

    Instant now_ { std::chrono::hours(1) };
    std::mt19937_64 random_;
    EventLog log_ { [](std::string_view) {} };
    Metrics metrics_;
    Supervisor supervisor_ { log_, metrics_, 1 };
    ProxyCore entry_ { ZoneId { "z0" }, log_, metrics_, 1000 };
    std::vector<Server> servers_;
    std::map<ConnectionId, const Server *> connections_;
    std::map<SessionId, bool> waits_; ///< Whether each session waits for a response.
    std::uint64_t index_ = 0;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t nextStatement_ = 1;
    std::uint64_t reportSequence_ = 0;
};

} // namespace daisyrelay
