// Several relay cores joined by a network and databases that tests can disturb.
#pragma once

#include "fakedatabase.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

/// What happens to one message between two VMs or between a VM and a database.
enum class DeliveryMode : std::uint8_t {
    Deliver,
    Lose,
    Duplicate,
    Delay, ///< Comes after what was sent later.
};

/// One group of three databases, one in each of three zones, and an entry VM in each zone. The VM of a zone is the home
/// of its database, and all VMs keep keys.
class FakeSystem
{
public:
    FakeSystem();

    static daisyrelay::VmId vm(int number);
    static daisyrelay::BackendId database(int number);
    static daisyrelay::GroupKey group();

    /// Sends a statement of class "lookups" (reads) or "reservations" (writes, once where \p key is given).
    daisyrelay::CallId call(int entry, const std::string &statement, const std::string &token = "",
        const std::string &key = "", std::chrono::milliseconds deadline = std::chrono::milliseconds(1000));
    daisyrelay::CallId sendRequest(int entry, daisyrelay::StatementRequest request, const std::string &token = "");

    /// Delivers what is on its way, and what follows from it, without time passing.
    void deliverPending();

    /// Lets time pass in steps of 10 ms; databases announce themselves every 250 ms.
    void advance(daisyrelay::Duration duration);

    void announce();
    void pushLeases();
    /// Makes \p number the primary in a new term; the old one keeps what it has.
    void failOver(int number);
    void kill(int entry);
    void restart(int entry);
    /// Cuts the connections between zones \p entry and all others, control included.
    void isolate(int entry);

    const daisyrelay::RespondToCaller &response(daisyrelay::CallId call) const;
    std::string resultText(daisyrelay::CallId call) const;

    daisyrelay::Instant now { std::chrono::hours(1) };
    std::map<int, std::unique_ptr<daisyrelay::Counters>> counters;
    std::map<int, std::unique_ptr<daisyrelay::RelayCore>> cores;
    std::map<int, FakeDatabase> databases;
    std::map<int, int> laggingDatabases; ///< A database with an entry here replicates only when told to.
    std::map<daisyrelay::CallId, std::vector<daisyrelay::RespondToCaller>> responses;
    std::function<DeliveryMode(const std::string &kind)>
        chooseDelivery; ///< "forward", "forward-response", "statement", "response", "peer".
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

    void completePositionRequests(bool failUnreachable);
    static daisyrelay::ConnectionId globalConnectionId(int entry, daisyrelay::ConnectionId connection);

    std::deque<Event> events_;
    std::deque<Event> delayedEvents_;
    std::map<daisyrelay::ConnectionId, OpenConnection> connections_;
    std::vector<PositionRequest> positionRequests_;
    std::map<int, int> bootCounts_;
    daisyrelay::CallId nextCall_ = 1;
    std::uint64_t announcements_ = 0;
    daisyrelay::Instant nextAnnouncementAt_ {};
};
