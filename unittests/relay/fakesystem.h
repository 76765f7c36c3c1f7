// Several relay cores joined by a network and databases that tests can disturb.
#pragma once

#include "fakedatabase.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

/// What happens to one message between two VMs or between a VM and a database.
enum class Fate : std::uint8_t {
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
    daisyrelay::CallId callRequest(int entry, daisyrelay::StatementRequest request, const std::string &token = "");

    /// Delivers what is on its way, and what follows from it, without time passing.
    void settle();

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

    const daisyrelay::AnswerCaller &answer(daisyrelay::CallId call) const;
    std::string text(daisyrelay::CallId call) const;

    daisyrelay::Instant now { std::chrono::hours(1) };
    std::map<int, std::unique_ptr<daisyrelay::Counters>> counters;
    std::map<int, std::unique_ptr<daisyrelay::RelayCore>> cores;
    std::map<int, FakeDatabase> databases;
    std::map<int, int> lag; ///< A database with an entry here replicates only when told to.
    std::map<daisyrelay::CallId, std::vector<daisyrelay::AnswerCaller>> answers;
    std::function<Fate(const std::string &what)> fate; ///< "forward", "answer", "statement", "reply", "peer".
    daisyrelay::LeaseTable table;
    std::set<int> isolated;

private:
    struct Event {
        std::string what;
        std::function<void()> run;
    };

    void post(const std::string &what, std::function<void()> run);
    void collect(int entry);
    void toPeer(int from, const daisyrelay::SendToPeer &send);
    void toDatabase(int from, const daisyrelay::RelayAction &action);
    void receive(int to, const daisyrelay::VmId &from, const daisyrelay::PeerPayload &payload);
    void replicateAll();
    void makeCore(int entry, bool firstStart);
    [[nodiscard]] bool linked(int a, int b) const;

    struct OpenConnection {
        int entry = 0;
        int database = 0;
    };
    struct WaitingWatch {
        int entry = 0;
        int database = 0;
        daisyrelay::Position position = 0;
        daisyrelay::Instant until;
    };

    void answerWatches(bool all);
    static daisyrelay::ConnectionId globalId(int entry, daisyrelay::ConnectionId connection);

    std::deque<Event> events_;
    std::deque<Event> delayed_;
    std::map<daisyrelay::ConnectionId, OpenConnection> connections_;
    std::vector<WaitingWatch> watches_;
    std::map<int, int> boots_;
    daisyrelay::CallId nextCall_ = 1;
    std::uint64_t announcements_ = 0;
    daisyrelay::Instant announceAt_ {};
};
