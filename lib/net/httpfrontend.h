// The HTTP API of a VM for callers, backend servers, operators and the platform.
#pragma once

#include "daisyrelay/io/httpserver.h"
#include "daisyrelay/net/eventloopthread.h"
#include "daisyrelay/net/faultinjector.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Parses requests, passes them to the relay thread and sends the responses. Must be used on the caller thread only.
class HttpFrontend
{
public:
    /// Hooks that return a bool pass work to another thread and return false if its ring is full.
    struct Hooks {
        std::function<bool(CallerRequest)> submitCall;
        std::function<bool(BackendAnnouncement)> submitAnnouncement;
        std::function<bool(ConfigChangeRequest)> submitConfigChange;
        /// Collects the status and passes it to the callback on the caller thread.
        std::function<bool(std::function<void(boost::json::object)>)> collectStatus;
        std::function<void()> startDrain;
        std::function<void(NetworkFaults)> setFaults; ///< Only called if the settings enable fault injection.
    };

    HttpFrontend(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks);

    Expected<void> listen();
    void onCallerResponse(const RespondToCaller &action);
    void onConfigChangeResponse(const ConfigChangeResponse &response);
    /// Sets the configuration that is returned to operators.
    void onConfigActivated(std::uint64_t version, std::string configJson);
    void setReady(bool ready);

    /// Reports not ready from now on and closes each connection after its next response.
    void startDraining();

    /// Closes the listening socket.
    void stopListening();
    [[nodiscard]] bool isListening() const;

    /// Closes the connections that have been idle for \p idleFor, and every other one after its next response.
    void closeIdle(Duration idleFor);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connectionCount() const;

    /// Returns the number of requests without a response.
    [[nodiscard]] std::size_t pendingCallCount() const;

private:
    /// A request of a caller that waits for its response.
    struct PendingCall {
        HttpResponseCallback respond;
        std::string className;
        Instant startedAt;
    };

    void handleRequest(const HttpRequest &request, HttpResponseCallback respond);
    void handleStatement(const HttpRequest &request, HttpResponseCallback respond);
    void handleTransactions(const HttpRequest &request, HttpResponseCallback respond);
    void handleAnnouncement(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleConfig(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleFaults(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleStatus(const HttpResponseCallback &respond);
    /// Passes a parsed request to the relay thread, or responds with its parse error.
    void submitRequest(
        Expected<StatementRequest> parsedRequest, const HttpRequest &request, HttpResponseCallback respond);
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
