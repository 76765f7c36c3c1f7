// Sessions on an entry without backend connections, whose statements are forwarded to another entry.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(StatementForwarding)
{
    FakeService home; ///< The entry that holds the connections, with its backend servers.
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore entry { ZoneId { "z1" }, log, metrics, 500000 };
    std::map<SessionId, std::deque<CallerResponse>> responses;
    bool isCut = false; ///< Whether all messages between the two entries are lost.
    std::size_t forwardedMessages = 0;

    void start(ReadGuarantee guarantee)
    {
        home.onMessage = [this](const SendToEntry &message) { deliverToEntry(message); };
        home.configure(guarantee);
        home.sendTopology(3);
        EntryUpdate update = home.core.makeUpdateFor({});
        update.homes.emplace();
        update.homes->version = 1;
        update.homes->isLast = true;
        for (const auto &[name, server] : home.servers) {
            update.homes->homes.push_back({ BackendId { name }, { VmId { "home" } } });
        }
        entry.onControlUpdate(home.now, update);
        performActions();
    }

    void deliverToEntry(const SendToEntry &message)
    {
        if (isCut) {
            return;
        }
        if (const auto *response = std::get_if<ForwardedStatementResponse>(&message.message); response != nullptr) {
            entry.onForwardedStatementResponse(home.now, VmId { "home" }, *response);
        }
        performActions();
    }

    void performActions()
    {
        for (std::vector<ProxyAction> actions = entry.takeActions(); !actions.empty(); actions = entry.takeActions()) {
            for (ProxyAction &action : actions) {
                if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                    responses[send->session].push_back(std::move(send->response));
                } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr && !isCut) {
                    ++forwardedMessages;
                    if (auto *request = std::get_if<ForwardedStatement>(&message->message); request != nullptr) {
                        home.sessionOfStatement[request->statement.id] = 900 + request->sessionId % 10;
                        home.callers[900 + request->sessionId % 10].name = std::to_string(request->sessionId);
                        home.core.onForwardedStatement(home.now, VmId { "entry" }, *request);
                    } else if (auto *end = std::get_if<ForwardedSessionEnd>(&message->message); end != nullptr) {
                        home.core.onForwardedSessionEnd(home.now, VmId { "entry" }, *end);
                    }
                    home.performActions();
                }
            }
        }
    }

    SessionId open(SessionId id)
    {
        entry.onSessionOpened(home.now, id, "db");
        performActions();
        return id;
    }

    CallerResponse execute(SessionId session, StatementType type, const std::string &text = "")
    {
        static std::uint64_t next = 1;
        Statement statement;
        statement.id = "g" + std::to_string(next++);
        statement.type = type;
        statement.text = text;
        if (type == StatementType::Prepare || type == StatementType::Execute) {
            statement.name = "s";
            statement.argument = text;
        }
        entry.onStatement(home.now, session, statement);
        performActions();
        for (int at = 0; responses[session].empty() && at < 3000; ++at) {
            home.run(1ms);
            if (at % 10 == 0) {
                entry.tick(home.now);
                performActions();
            }
        }
        CHECK(!responses[session].empty());
        CallerResponse response = responses[session].front();
        responses[session].pop_front();
        return response;
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), home.violation);
    }
};

TEST(StatementForwarding, SessionReadsItsOwnWritesThroughHome)
{
    start(ReadGuarantee::ReadYourWrites);
    const SessionId session = open(1);
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("1"), read.rows.at(0));
}

TEST(StatementForwarding, TransactionKeepsOneConnectionAtHome)
{
    start(ReadGuarantee::Primary);
    const SessionId first = open(1);
    const SessionId second = open(2);
    for (const SessionId session : { first, second }) {
        CHECK(execute(session, StatementType::Begin).code == ResponseCode::Ok);
        CHECK(execute(session, StatementType::Write, "x" + std::to_string(session)).code == ResponseCode::Ok);
    }
    CHECK_EQUAL(0U, home.committed.size());
    CHECK(execute(first, StatementType::Commit, "COMMIT").code == ResponseCode::Ok);
    CHECK_EQUAL(1U, home.committed.size());
    CHECK(execute(second, StatementType::Rollback).code == ResponseCode::Ok);
    home.run(50ms);
    CHECK_EQUAL(1U, home.committed.size());
    // Both connections must have been released.
    for (SessionId id = 3; id < 6; ++id) {
        CHECK(execute(open(id), StatementType::Read, "x1").code == ResponseCode::Ok);
    }
}

TEST(StatementForwarding, WriteIsInDoubtAndNotRetriedWhenHomeStopsResponding)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Ok);
    const std::size_t messagesBefore = forwardedMessages;
    Statement write;
    write.id = "w";
    write.type = StatementType::Write;
    write.text = "x";
    entry.onStatement(home.now, session, write);
    performActions();
    isCut = true;
    for (int at = 0; responses[session].empty() && at < 300; ++at) {
        home.run(10ms);
        entry.tick(home.now);
        performActions();
    }
    CHECK(responses[session].front().code == ResponseCode::InDoubt);
    CHECK_EQUAL(messagesBefore + 1, forwardedMessages);
}

TEST(StatementForwarding, TransactionIsRolledBackAtHomeWhenCallerDisconnects)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    execute(session, StatementType::Begin);
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    entry.onSessionClosed(home.now, session);
    performActions();
    home.run(50ms);
    CHECK_EQUAL(0U, home.committed.size());
    for (const auto &[id, connection] : home.connections) {
        CHECK(!connection.inTransaction);
    }
}

TEST(StatementForwarding, StatementOfLostTransactionIsAborted)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    execute(session, StatementType::Begin);
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    home.core.onForwardedSessionEnd(
        home.now, VmId { "entry" }, { 500000 + session }); // Simulates a restart of the home.
    home.performActions();
    const CallerResponse second = execute(session, StatementType::Write, "y");
    CHECK(second.code == ResponseCode::Aborted);
    CHECK(second.state == TransactionState::Failed);
    CHECK(execute(session, StatementType::Commit, "COMMIT").code == ResponseCode::Aborted);
    home.run(100ms);
    CHECK_EQUAL(0U, home.committed.size());
}

// The home keeps fewer names at a connection than this transaction uses.
TEST(StatementForwarding, TransactionRunsManyShapesAtHome)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    CHECK(execute(session, StatementType::Begin).code == ResponseCode::Ok);
    for (int shape = 0; shape < 100; ++shape) {
        const std::string text = "q" + std::to_string(shape);
        CHECK(execute(session, StatementType::Prepare, text).code == ResponseCode::Ok);
        const CallerResponse response = execute(session, StatementType::Execute, text);
        CHECK(response.code == ResponseCode::Ok);
        CHECK_EQUAL("FETCH " + text, response.rows.at(0));
    }
    CHECK(execute(session, StatementType::Commit, "COMMIT").code == ResponseCode::Ok);
}
