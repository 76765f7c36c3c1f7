// One caller session of a load run. It moves to another entry with each request, as a caller behind the platform's
// balancer does, and checks what it was promised.
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
    std::uint64_t sentRequests = 0;
    std::map<std::string, Instant> lastWriteAt; ///< By group: the last acknowledged write.

    /// Whether the run has reached its end in time or in number of requests.
    [[nodiscard]] bool isOver(Instant now) const;
};

class LoadSession
{
public:
    LoadSession(LoadRun &run, std::uint32_t number);

    /// Sends the next request, and so on until the run is over.
    void sendNextRequest();

    /// Reads back what was acknowledged in the groups from \p groupIndex on.
    void verifyGroups(std::size_t groupIndex);

private:
    /// What one request asked for.
    struct RequestInFlight {
        const LoadClass *workClass = nullptr;
        std::string group;
        std::uint64_t value = 0; ///< The number that a repeatable write puts.
        Instant startedAt;
        HttpRequest request;
        bool isResend = false; ///< The same idempotency key was sent before.
        std::size_t connectAttempts = 0;
    };

    /// What the session knows of its own keys in one group.
    struct GroupRecord {
        std::uint64_t acknowledgedValue = 0; ///< Highest value put by a repeatable write.
        std::uint64_t acknowledgedAdds = 0; ///< Additions that were acknowledged.
        std::uint64_t uncertainAdds = 0; ///< Additions whose outcome is unknown.
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
    void withConnection(std::size_t entry, const std::function<void(HttpConnection *)> &callback);
    [[nodiscard]] std::string valueKey() const;
    [[nodiscard]] std::string counterKey() const;

    LoadRun &run_;
    std::uint32_t number_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<HttpConnection>> connections_;
    std::string token_;
    std::uint64_t nextValue_ = 1;
    std::uint64_t nextKey_ = 1;
    std::map<std::string, GroupRecord> groupRecords_;
    boost::asio::steady_timer timer_;
    Instant nextRequestAt_;
};

} // namespace daisyrelay
