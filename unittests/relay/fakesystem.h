// Several relay cores connected by a simulated network and databases into which tests can inject faults.
#pragma once

#include "fakedatabase.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

/// How one message between two VMs or between a VM and a database is delivered.
enum class DeliveryMode : std::uint8_t {
    Deliver,
    Lose,
    Duplicate,
    Delay, ///< Delivered after messages that were sent later.
};

/// One group of three databases in three zones, with an entry VM in each zone. The VM of a zone is the home of the
/// database in that zone, and all VMs store idempotency keys.
class FakeSystem
{
public:
    FakeSystem();

    static daisyrelay::VmId vm(int number);
    static daisyrelay::BackendId database(int number);
    static daisyrelay::GroupKey group();

    /// Sends a statement of class "lookups" (reads) or "reservations" (writes; not repeatable if \p key is given).
    daisyrelay::CallId call(int entry, const std::string &statement, const std::string &token = "",
        const std::string &key = "", std::chrono::milliseconds deadline = std::chrono::milliseconds(1000));
    daisyrelay::CallId sendRequest(int entry, daisyrelay::StatementRequest request, const std::string &token = "");

    /// Delivers pending messages and those that follow from them, without advancing the clock.
    void deliverPending();

    /// Advances the clock in steps of 10 ms; databases announce themselves every 250 ms.
    void advance(daisyrelay::Duration duration);

    void announce();
    void pushLeases();
    /// Promotes \p number to primary in a new term; the old primary keeps its log.
    void failOver(int number);
    void kill(int entry);
    void restart(int entry);
    /// Cuts the connections between zone \p entry and all other zones, including control.
    void isolate(int entry);

    const daisyrelay::RespondToCaller &response(daisyrelay::CallId call) const;
    std::string resultText(daisyrelay::CallId call) const;

    daisyrelay::Instant now { std::chrono::hours(1) };
    std::map<int, std::unique_ptr<daisyrelay::Counters>> counters;
    std::map<int, std::unique_ptr<daisyrelay::RelayCore>> cores;
    std::map<int, FakeDatabase> databases;
    std::map<int, int> lagging; ///< Databases that do not replicate, by number; the value is not used.
    std::map<daisyrelay::CallId, std::vector<daisyrelay::RespondToCaller>> responses;
    std::function<DeliveryMode(const std::string &kind)>
        chooseDelivery; ///< Chooses the delivery of a message; \c kind is "forward", "forward-response", "statement",
                        ///< "response" or "peer".
    daisyrelay::LeaseTable table;
    std::set<int> isolatedZones;

private:
    struct Event {
        std::string kind;
        std::function<void()> run;
    };

    void postMessage(const std::string &kind, std::function<void()> run);
    void performActions(int entry);
    void sendToPeer(int from, const daisyrelay::SendToPeer &send);
    void performDatabaseAction(int from, const daisyrelay::RelayAction &action);
    void receive(int to, const daisyrelay::VmId &from, const daisyrelay::PeerPayload &payload);
    void replicateAll();
    void makeCore(int entry, bool isFirstStart);
    [[nodiscard]] bool isConnected(int a, int b) const;

    struct OpenConnection {
        int entry = 0;
        int database = 0;
    };
    struct PositionRequest {
        int entry = 0;
        int database = 0;
        daisyrelay::Position position = 0;
        daisyrelay::Instant waitUntil;
    };

    void completePositionRequests(bool shouldFailUnreachable);
    static daisyrelay::ConnectionId globalConnectionId(int entry, daisyrelay::ConnectionId connection);

    std::deque<Event> events_;
    std::deque<Event> delayedEvents_;
    std::map<daisyrelay::ConnectionId, OpenConnection> connections_;
    std::vector<PositionRequest> positionRequests_;
    std::map<int, int> bootCounts_;
    daisyrelay::CallId nextCall_ = 1;
    std::uint64_t sequence_ = 0;
    daisyrelay::Instant nextAnnouncementAt_ {};
};
