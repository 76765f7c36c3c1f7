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
class HttpFrontend
{
public:
    /// Each hook hands something to another duty and returns false if its ring is full.
    struct Hooks {
        std::function<bool(CallerRequest)> submitCall;
        std::function<bool(BackendAnnouncement)> submitAnnouncement;
        std::function<bool(ConfigChangeRequest)> submitConfigChange;
        std::function<bool(std::function<void(boost::json::object)>)> collectStatus; ///< Calls back on this thread.
        std::function<void()> startDrain;
        std::function<void(NetworkFaults)> setFaults; ///< Used only where the settings allow it.
    };

    HttpFrontend(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks);

    Expected<void> listen();
    void onCallerResponse(const RespondToCaller &answer);
    void onConfigChangeResponse(const ConfigChangeResponse &answer);
    void onConfigActivated(std::uint64_t version, std::string configJson);
    void setReady(bool ready);

    /// Turns not ready at once and ends each connection with its next answer.
    void startDraining();

    /// Closes the listening socket.
    void stopListening();

    /// Closes the connections that have been idle for \p idleFor.
    void closeIdle(Duration idleFor);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connectionCount() const;

    [[nodiscard]] std::size_t pendingCallCount() const;

private:
    struct PendingCall {
        HttpResponseCallback respond;
        std::string className;
        Instant startedAt;
    };

    void handle(const HttpRequest &request, HttpResponseCallback respond);
    void handleStatement(const HttpRequest &request, HttpResponseCallback respond);
    void handleTransactions(const HttpRequest &request, HttpResponseCallback respond);
    void handleBackend(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleConfig(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleFaults(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleStatus(const HttpResponseCallback &respond);
    void submit(Expected<StatementRequest> parsed, const HttpRequest &request, HttpResponseCallback respond);
    void respondWithError(const Error &error, const std::string &token, const HttpResponseCallback &respond);
    [[nodiscard]] std::string renderMetrics() const;

    EventLoopThread &thread_;
    Settings settings_;
    Counters &counters_;
    Hooks hooks_;
    HttpServer server_;
    bool isReady_ = false;
    bool isDraining_ = false;
    std::uint64_t configVersion_ = 0;
    std::string configJson_ = "{}";
    CallId nextCallId_ = 1;
    std::map<CallId, PendingCall> pendingCalls_;
    std::map<std::uint64_t, HttpResponseCallback> pendingConfigChanges_;
    std::map<std::string, LatencyStats> latencyByClass_;
};

} // namespace daisyrelay
