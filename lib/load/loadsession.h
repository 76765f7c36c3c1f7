// One caller session of a load run. Sends each request to a random entry, as the load balancer of the platform does,
// and verifies the consistency guarantees.
#pragma once

#include "daisyrelay/load/loadoptions.h"
#include "daisyrelay/load/loadreport.h"
#include "daisyrelay/net.h"

#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

namespace daisyrelay {

/// State shared by all sessions of a run.
struct LoadRun {
    const LoadOptions &options;
    boost::asio::io_context &context;
    LoadReport &report;
    Instant startedAt;
    Instant endsAt;
    std::uint64_t sentRequests = 0; ///< Requests sent by all sessions.
    std::map<std::string, Instant> lastWriteAt; ///< Time of the last acknowledged write, by group.

    /// Whether the run has reached its time limit or its maximum number of requests.
    [[nodiscard]] bool isOver(Instant now) const;
};

/// Sends one request at a time and tracks the acknowledged writes of its own keys.
class LoadSession
{
public:
    LoadSession(LoadRun &run, std::uint32_t number);

    /// Sends the next request, and further ones until the run is over.
    void sendNextRequest();

    /// Reads the keys of this session in the groups from \p groupIndex on and compares them with the acknowledged
    /// writes.
    void verifyGroups(std::size_t groupIndex);

private:
    /// A request that awaits its response.
    struct RequestInFlight {
        const LoadClass *workClass = nullptr;
        std::string group;
        std::uint64_t value = 0; ///< Value written by a repeatable write.
        Instant startedAt;
        HttpRequest request;
        bool isResend = false; ///< Whether the request repeats an acknowledged one.
        std::size_t connectAttempts = 0;
    };

    /// Writes of the session to its own keys in one group.
    struct GroupRecord {
        std::uint64_t acknowledgedValue = 0; ///< Highest acknowledged value of a repeatable write.
        std::uint64_t acknowledgedAdds = 0; ///< Number of acknowledged additions.
        std::uint64_t uncertainAdds = 0; ///< Number of additions with unknown outcome.
    };

    [[nodiscard]] const LoadClass &pickClass();
    [[nodiscard]] HttpRequest buildRequest(RequestInFlight &sent);
    [[nodiscard]] HttpRequest buildDirectRead() const;
    void sendRequest(RequestInFlight sent);
    void onResponse(const RequestInFlight &sent, const std::optional<HttpResponse> &response);
    void onErrorResponse(const RequestInFlight &sent, const boost::json::object &problem);
    void onSuccess(const RequestInFlight &sent, const boost::json::object &body);
    void resendRequest(RequestInFlight sent);
    void onResponseLost(const RequestInFlight &sent);
    void scheduleNextRequest(Duration delay);
    void verifyKey(std::size_t groupIndex, bool isCounter);
    /// Calls \p callback with an open connection to the entry, or with null if the connection failed.
    void withConnection(std::size_t entry, const std::function<void(HttpConnection *)> &callback);
    [[nodiscard]] std::string valueKey() const; ///< Returns the key of repeatable writes.
    [[nodiscard]] std::string counterKey() const; ///< Returns the key of additions.

    LoadRun &run_;
    std::uint32_t number_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<HttpConnection>> connections_;
    std::string token_;
    std::uint64_t nextValue_ = 1;
    std::uint64_t nextIdempotencyKey_ = 1;
    std::map<std::string, GroupRecord> groupRecords_;
    boost::asio::steady_timer timer_;
    Instant nextRequestAt_;
};

} // namespace daisyrelay
