// The HTTP duty of a VM: callers, backend servers, operators and the platform.
#pragma once

#include "daisyrelay/io/httpserver.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/faultplan.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Lives on the caller thread; parses requests, hands them to the relay duty and sends the answers.
class CallerFront
{
public:
    /// Each hook hands something to another duty and returns false if its ring is full.
    struct Hooks {
        std::function<bool(CallerRequest)> caller;
        std::function<bool(BackendAnnouncement)> announced;
        std::function<bool(ConfigChangeRequest)> configChange;
        std::function<bool(std::function<void(boost::json::object)>)> status; ///< Calls back on this thread.
        std::function<void()> drain;
        std::function<void(NetworkFaults)> faults; ///< Used only where the settings allow it.
    };

    CallerFront(Duty &duty, const Settings &settings, Counters &counters, Hooks hooks);

    Expected<void> listen();
    void onAnswer(const RespondToCaller &answer);
    void onConfigAnswer(const ConfigChangeAnswer &answer);
    void onConfigInForce(std::uint64_t version, std::string configJson);
    void setReady(bool ready);

    /// Turns not ready at once and ends each connection with its next answer.
    void startDraining();

    /// Closes the listening socket.
    void stopListening();

    /// Closes the connections that have been idle for \p idleFor.
    void closeIdle(Duration idleFor);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connections() const;

    [[nodiscard]] std::size_t openCalls() const;

private:
    struct OpenCall {
        HttpReply reply;
        std::string className;
        Instant startedAt;
    };

    void handle(const HttpRequest &request, HttpReply reply);
    void handleStatement(const HttpRequest &request, HttpReply reply);
    void handleTransactions(const HttpRequest &request, HttpReply reply);
    void handleBackend(const HttpRequest &request, const HttpReply &reply);
    void handleConfig(const HttpRequest &request, const HttpReply &reply);
    void handleFaults(const HttpRequest &request, const HttpReply &reply);
    void handleStatus(const HttpReply &reply);
    void submit(Expected<StatementRequest> parsed, const HttpRequest &request, HttpReply reply);
    void refuse(const Error &error, const std::string &token, const HttpReply &reply);
    [[nodiscard]] std::string metrics() const;

    Duty &duty_;
    Settings settings_;
    Counters &counters_;
    Hooks hooks_;
    HttpServer server_;
    bool ready_ = false;
    bool draining_ = false;
    std::uint64_t configVersion_ = 0;
    std::string configJson_ = "{}";
    CallId nextCall_ = 1;
    std::map<CallId, OpenCall> calls_;
    std::map<std::uint64_t, HttpReply> changes_;
    std::map<std::string, LatencyStats> latencies_;
};

} // namespace daisyrelay
