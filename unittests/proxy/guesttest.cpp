// Sessions on an entry that holds no connection, whose statements run on another one.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Guests)
{
    FakeService home; ///< The entry that holds connections, and the servers behind it.
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore entry { ZoneId { "z1" }, log, metrics, 500000 };
    std::map<SessionId, std::deque<CallerAnswer>> answers;
    bool cut = false; ///< Whether messages between the two are lost.
    std::size_t passed = 0;

    void start(ReadGuarantee guarantee)
    {
        home.onMessage = [this](const SendToEntry &message) { toEntry(message); };
        home.configure(guarantee);
        home.announce(3);
        EntryUpdate update = home.core.describeTo({});
        update.homesVersion = 1;
        update.homes.emplace();
        for (const auto &[name, server] : home.servers) {
            update.homes->push_back({ BackendId { name }, { VmId { "home" } } });
        }
        entry.onUpdate(home.now, update);
        perform();
    }

    void toEntry(const SendToEntry &message)
    {
        if (cut) {
            return;
        }
        if (const auto *answer = std::get_if<GuestAnswer>(&message.message); answer != nullptr) {
            entry.onGuestAnswer(home.now, VmId { "home" }, *answer);
        }
        perform();
    }

    void perform()
    {
        for (std::vector<ProxyAction> actions = entry.takeActions(); !actions.empty(); actions = entry.takeActions()) {
            for (ProxyAction &action : actions) {
                if (auto *send = std::get_if<SendAnswer>(&action); send != nullptr) {
                    answers[send->session].push_back(std::move(send->answer));
                } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr && !cut) {
                    ++passed;
                    if (auto *request = std::get_if<GuestRequest>(&message->message); request != nullptr) {
                        home.ownerOfStatement[request->statement.id] = 900 + request->channel % 10;
                        home.callers[900 + request->channel % 10].name = std::to_string(request->channel);
                        home.core.onGuestRequest(home.now, VmId { "entry" }, *request);
                    } else if (auto *end = std::get_if<GuestEnd>(&message->message); end != nullptr) {
                        home.core.onGuestEnd(home.now, VmId { "entry" }, *end);
                    }
                    home.perform();
                }
            }
        }
    }

    SessionId open(SessionId id)
    {
        entry.onSessionOpened(home.now, id, "db");
        perform();
        return id;
    }

    CallerAnswer ask(SessionId session, StatementType kind, const std::string &text = "")
    {
        static std::uint64_t next = 1;
        Statement statement;
        statement.id = "g" + std::to_string(next++);
        statement.kind = kind;
        statement.text = text;
        entry.onStatement(home.now, session, statement);
        perform();
        for (int at = 0; answers[session].empty() && at < 3000; ++at) {
            home.run(1ms);
            if (at % 10 == 0) {
                entry.tick(home.now);
                perform();
            }
        }
        CHECK(!answers[session].empty());
        CallerAnswer answer = answers[session].front();
        answers[session].pop_front();
        return answer;
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), home.violation);
    }
};

TEST(Guests, WritesAndReadsRunAtTheHomeAndTheSessionSeesItsWrites)
{
    start(ReadGuarantee::OwnWrites);
    const SessionId session = open(1);
    CHECK(ask(session, StatementType::Write, "x").code == AnswerCode::Ok);
    const CallerAnswer read = ask(session, StatementType::Read, "x");
    CHECK(read.code == AnswerCode::Ok);
    CHECK_EQUAL(std::string("1"), read.rows.at(0));
}

TEST(Guests, ATransactionStaysOnOneConnectionOfItsHome)
{
    start(ReadGuarantee::Primary);
    const SessionId first = open(1);
    const SessionId second = open(2);
    for (const SessionId session : { first, second }) {
        CHECK(ask(session, StatementType::Begin).code == AnswerCode::Ok);
        CHECK(ask(session, StatementType::Write, "x" + std::to_string(session)).code == AnswerCode::Ok);
    }
    CHECK_EQUAL(0U, home.committed.size());
    CHECK(ask(first, StatementType::Commit, "COMMIT").code == AnswerCode::Ok);
    CHECK_EQUAL(1U, home.committed.size());
    CHECK(ask(second, StatementType::Rollback).code == AnswerCode::Ok);
    home.run(50ms);
    CHECK_EQUAL(1U, home.committed.size());
    // Both connections are free again.
    for (SessionId id = 3; id < 6; ++id) {
        CHECK(ask(open(id), StatementType::Read, "x1").code == AnswerCode::Ok);
    }
}

TEST(Guests, AWriteWhoseHomeGoesSilentIsInDoubtAndNotSentElsewhere)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    CHECK(ask(session, StatementType::Read, "x").code == AnswerCode::Ok);
    const std::size_t before = passed;
    Statement write;
    write.id = "w";
    write.kind = StatementType::Write;
    write.text = "x";
    entry.onStatement(home.now, session, write);
    perform();
    cut = true;
    for (int at = 0; answers[session].empty() && at < 300; ++at) {
        home.run(10ms);
        entry.tick(home.now);
        perform();
    }
    CHECK(answers[session].front().code == AnswerCode::InDoubt);
    CHECK_EQUAL(before + 1, passed);
}

TEST(Guests, ATransactionWhoseCallerLeavesIsRolledBackAtItsHome)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    ask(session, StatementType::Begin);
    CHECK(ask(session, StatementType::Write, "x").code == AnswerCode::Ok);
    entry.onSessionClosed(home.now, session);
    perform();
    home.run(50ms);
    CHECK_EQUAL(0U, home.committed.size());
    for (const auto &[id, connection] : home.connections) {
        CHECK(!connection.inTransaction);
    }
}

TEST(Guests, ALostTransactionIsNotContinuedAsAnother)
{
    start(ReadGuarantee::Primary);
    const SessionId session = open(1);
    ask(session, StatementType::Begin);
    CHECK(ask(session, StatementType::Write, "x").code == AnswerCode::Ok);
    home.core.onGuestEnd(home.now, VmId { "entry" }, { 500000 + session }); // As after a restart of the home.
    home.perform();
    const CallerAnswer second = ask(session, StatementType::Write, "y");
    CHECK(second.code == AnswerCode::Aborted);
    CHECK(second.state == TransactionState::Failed);
    CHECK(ask(session, StatementType::Commit, "COMMIT").code == AnswerCode::Aborted);
    home.run(100ms);
    CHECK_EQUAL(0U, home.committed.size());
}
