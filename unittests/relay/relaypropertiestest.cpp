// Properties that hold whatever the network, the entries and the databases do.
#include "fakesystem.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <random>

using namespace daisyrelay;

namespace {

/// A session as its caller sees it.
struct Session {
    std::string token;
    std::uint64_t maxAcknowledged = 0; ///< Highest value whose write was acknowledged.
    std::uint64_t nextValue = 1;
    bool hasRequestInFlight = false;
    std::string lastOrder; ///< The statement of the last order, which no read depends on.
    std::string uncertainOrder; ///< An order that may have run; it is sent again with its key.
    int entry = 0; ///< Where its request went.
};

/// One request that a caller waits for.
struct PendingRequest {
    std::size_t session = 0;
    bool isWrite = false;
    std::uint64_t value = 0;
    std::string statement;
    std::uint64_t minValue = 0; ///< What a read must see at least.
    bool isOrder = false;
    bool isResend = false; ///< Sent before with the same key.
};

/// Sends random work through random entries while messages are lost, doubled and delayed, entries die and the primary
/// changes.
class Scenario
{
public:
    explicit Scenario(std::uint32_t seed);

    void run(int steps);
    void checkInvariants();

    FakeSystem system;

private:
    void step();
    void send();
    void injectFault();
    void processResponses();
    int randomBelow(int below);

    std::mt19937 random_;
    std::vector<Session> sessions_;
    std::map<CallId, PendingRequest> requests_;
    std::set<CallId> processedCalls_;
    std::map<std::string, int> refusedAsNotRun_;
    std::map<std::string, int> sent_;
    int faultPercent_ = 0; ///< Per cent of the messages.
    int killedEntry_ = 0;
};

} // namespace

Scenario::Scenario(std::uint32_t seed) : random_(seed), sessions_(4)
{
    system.chooseDelivery = [this](const std::string &kind) {
        const int roll = randomBelow(100);
        // A statement goes to the database over one TCP connection, which does not copy it.
        if (roll >= faultPercent_ || (kind == "statement" && roll % 3 == 1)) {
            return DeliveryMode::Deliver;
        }
        return roll % 3 == 0 ? DeliveryMode::Lose : roll % 3 == 1 ? DeliveryMode::Duplicate : DeliveryMode::Delay;
    };
}

int Scenario::randomBelow(int below)
{
    return static_cast<int>(random_() % static_cast<std::uint32_t>(below));
}

void Scenario::send()
{
    const auto index = static_cast<std::size_t>(randomBelow(static_cast<int>(sessions_.size())));
    Session &session = sessions_[index];
    const int entry = 1 + randomBelow(3);
    // A session is one request after the other; a caller that overlaps them has to choose between two tokens.
    if (!system.cores.contains(entry) || session.hasRequestInFlight) {
        return;
    }
    session.hasRequestInFlight = true;
    session.entry = entry;
    const std::string sessionKey = "s" + std::to_string(index);
    PendingRequest request { index, randomBelow(2) == 0, 0, "get " + sessionKey, session.maxAcknowledged };
    std::string key;
    if (request.isWrite) {
        request.isOrder = randomBelow(2) == 0;
        request.isResend = request.isOrder && !session.uncertainOrder.empty() && randomBelow(3) != 0;
        request.value = session.nextValue++;
        request.statement
            = "put " + (request.isOrder ? "order-" + sessionKey : sessionKey) + " " + std::to_string(request.value);
        if (request.isResend) {
            request.statement = session.uncertainOrder;
        }
        session.lastOrder = request.isOrder ? request.statement : session.lastOrder;
        key = request.statement;
        ++sent_[request.statement];
    }
    requests_[system.call(entry, request.statement, session.token, key, std::chrono::milliseconds(300))] = request;
}

void Scenario::processResponses()
{
    for (const auto &[call, responses] : system.responses) {
        const auto request = requests_.find(call);
        if (request == requests_.end() || !processedCalls_.insert(call).second) {
            continue;
        }
        const RespondToCaller &response = responses.front();
        Session &session = sessions_[request->second.session];
        session.hasRequestInFlight = false;
        if (!response.result) {
            const ErrorKind kind = response.result.error().kind;
            // A lost write ends the promise for what came before it; a caller that goes on accepts that.
            if (kind == ErrorKind::LostWrite) {
                session.token = response.token;
                session.maxAcknowledged = 0;
            }
            if (request->second.isOrder && errorResponseFor(kind).executed != Executed::No) {
                session.uncertainOrder = request->second.statement;
            }
            if (request->second.isWrite && !request->second.isResend
                && errorResponseFor(kind).executed == Executed::No) {
                ++refusedAsNotRun_[request->second.statement];
            }
            continue;
        }
        if (request->second.isWrite && !request->second.isOrder) {
            session.maxAcknowledged = std::max(session.maxAcknowledged, request->second.value);
        } else if (!request->second.isWrite) {
            RC_ASSERT(std::stoull(response.result->resultJson) >= request->second.minValue);
        }
        session.token = response.token;
    }
}

void Scenario::injectFault()
{
    switch (randomBelow(12)) {
    case 0:
        faultPercent_ = randomBelow(3) * 10;
        break;
    case 1:
        if (killedEntry_ == 0) {
            killedEntry_ = 1 + randomBelow(3);
            processResponses();
            system.kill(killedEntry_);
            for (Session &session : sessions_) {
                if (session.hasRequestInFlight && session.entry == killedEntry_) {
                    session.hasRequestInFlight = false; // Its connection broke.
                    session.uncertainOrder = session.lastOrder;
                }
            }
        }
        break;
    case 2:
        if (killedEntry_ != 0) {
            system.restart(killedEntry_);
            killedEntry_ = 0;
        }
        break;
    case 3:
        system.laggingDatabases[1 + randomBelow(3)] = 1;
        break;
    case 4:
        system.laggingDatabases.clear();
        break;
    case 5: {
        // The most advanced database is promoted, as control would do.
        int best = 1;
        for (const auto &[number, database] : system.databases) {
            best = database.point() > system.databases[best].point() ? number : best;
        }
        system.failOver(best);
        break;
    }
    case 6:
        system.table.homes[static_cast<std::size_t>(randomBelow(3))].entry = FakeSystem::vm(1 + randomBelow(3));
        ++system.table.version;
        system.pushLeases();
        break;
    default:
        break;
    }
}

void Scenario::step()
{
    for (int count = randomBelow(4); count > 0; --count) {
        send();
    }
    system.deliverPending();
    if (randomBelow(3) == 0) {
        injectFault();
    }
    system.advance(std::chrono::milliseconds(10 * (1 + randomBelow(4))));
    processResponses();
}

void Scenario::run(int steps)
{
    for (int count = 0; count < steps; ++count) {
        step();
    }
    faultPercent_ = 0;
    system.laggingDatabases.clear();
    system.advance(std::chrono::seconds(1));
    processResponses();
}

void Scenario::checkInvariants()
{
    std::map<std::string, int> executed;
    for (const auto &[number, database] : system.databases) {
        RC_ASSERT(database.misroutedStatements == 0);
        for (const auto &[statement, times] : database.executions) {
            executed[statement] += times;
        }
    }
    for (const auto &[statement, times] : executed) {
        RC_ASSERT(times == 1);
        RC_ASSERT(refusedAsNotRun_[statement] == 0);
    }
    for (const auto &[call, responses] : system.responses) {
        RC_ASSERT(responses.size() == 1U);
    }
}

TEST_GROUP(RelayProperties) {};

TEST(RelayProperties, NothingRunsTwiceNothingRefusedAsNotRunRanAndSessionsReadTheirWrites)
{
    const bool held = rc::check([](std::uint32_t seed) {
        Scenario scenario(seed);
        scenario.run(60);
        scenario.checkInvariants();
    });
    CHECK(held);
}

TEST(RelayProperties, TransactionsNeverMix)
{
    const bool held = rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        FakeSystem system;
        std::vector<std::pair<CallId, TransactionId>> open;
        std::map<std::string, std::set<std::string>> written;
        for (int step = 0; step < 60; ++step) {
            const int entry = 1 + static_cast<int>(random() % 3);
            StatementRequest request;
            request.timeLeft = std::chrono::milliseconds(200);
            if (open.size() < 4 && random() % 3 == 0) {
                request.group = FakeSystem::group();
                request.classId = ClassId { "reservations" };
                request.kind = StatementKind::Write;
                request.action = StatementAction::Begin;
                const CallId call = system.sendRequest(entry, request);
                system.advance(std::chrono::milliseconds(30));
                if (system.responses.contains(call) && system.response(call).result) {
                    open.emplace_back(call, system.response(call).result->transaction);
                }
                continue;
            }
            if (open.empty()) {
                continue;
            }
            const std::size_t index = random() % open.size();
            request.transaction = open[index].second;
            const std::uint32_t roll = random() % 6;
            system.chooseDelivery = [&random](const std::string &) {
                return random() % 20 == 0 ? DeliveryMode::Lose : DeliveryMode::Deliver;
            };
            if (roll == 0) {
                request.action = random() % 2 == 0 ? StatementAction::Commit : StatementAction::Rollback;
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                request.kind = StatementKind::Write;
                request.statement = "put " + request.transaction.value + " " + std::to_string(step);
                written[request.transaction.value].insert(request.statement);
            }
            system.sendRequest(entry, request);
            system.advance(std::chrono::milliseconds(10 * (random() % 4)));
            system.chooseDelivery = nullptr;
        }
        system.advance(std::chrono::seconds(12));
        for (const auto &[number, database] : system.databases) {
            RC_ASSERT(database.misroutedStatements == 0);
            RC_ASSERT(database.transactions.empty());
        }
        for (const auto &[call, responses] : system.responses) {
            RC_ASSERT(responses.size() == 1U);
        }
    });
    CHECK(held);
}
