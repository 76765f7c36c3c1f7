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
    std::uint64_t acknowledged = 0; ///< Highest value whose write was acknowledged.
    std::uint64_t next = 1;
    bool waiting = false;
    std::string order; ///< The statement of the last order, which no read depends on.
    std::string uncertain; ///< An order that may have run; it is sent again with its key.
    int entry = 0; ///< Where its request went.
};

/// One request that a caller waits for.
struct Asked {
    std::size_t session = 0;
    bool write = false;
    std::uint64_t value = 0;
    std::string statement;
    std::uint64_t floor = 0; ///< What a read must see at least.
    bool order = false;
    bool again = false; ///< Sent before with the same key.
};

/// Sends random work through random entries while messages are lost, doubled and delayed, entries die and the primary
/// changes.
class Scenario
{
public:
    explicit Scenario(std::uint32_t seed);

    void run(int steps);
    void checkAnswers();

    FakeSystem system;

private:
    void step();
    void send();
    void disturb();
    void readAnswers();
    int pick(int below);

    std::mt19937 random_;
    std::vector<Session> sessions_;
    std::map<CallId, Asked> asked_;
    std::set<CallId> read_;
    std::map<std::string, int> refusedAsNotRun_;
    std::map<std::string, int> sent_;
    int faults_ = 0; ///< Per cent of the messages.
    int killed_ = 0;
};

} // namespace

Scenario::Scenario(std::uint32_t seed) : random_(seed), sessions_(4)
{
    system.fate = [this](const std::string &what) {
        const int dice = pick(100);
        // A statement goes to the database over one TCP connection, which does not copy it.
        if (dice >= faults_ || (what == "statement" && dice % 3 == 1)) {
            return Fate::Deliver;
        }
        return dice % 3 == 0 ? Fate::Lose : dice % 3 == 1 ? Fate::Duplicate : Fate::Delay;
    };
}

int Scenario::pick(int below)
{
    return static_cast<int>(random_() % static_cast<std::uint32_t>(below));
}

void Scenario::send()
{
    const auto index = static_cast<std::size_t>(pick(static_cast<int>(sessions_.size())));
    Session &session = sessions_[index];
    const int entry = 1 + pick(3);
    // A session is one request after the other; a caller that overlaps them has to choose between two tokens.
    if (!system.cores.contains(entry) || session.waiting) {
        return;
    }
    session.waiting = true;
    session.entry = entry;
    const std::string own = "s" + std::to_string(index);
    Asked asked { index, pick(2) == 0, 0, "get " + own, session.acknowledged };
    std::string key;
    if (asked.write) {
        asked.order = pick(2) == 0;
        asked.again = asked.order && !session.uncertain.empty() && pick(3) != 0;
        asked.value = session.next++;
        asked.statement = "put " + (asked.order ? "order-" + own : own) + " " + std::to_string(asked.value);
        if (asked.again) {
            asked.statement = session.uncertain;
        }
        session.order = asked.order ? asked.statement : session.order;
        key = asked.statement;
        ++sent_[asked.statement];
    }
    asked_[system.call(entry, asked.statement, session.token, key, std::chrono::milliseconds(300))] = asked;
}

void Scenario::readAnswers()
{
    for (const auto &[call, answers] : system.answers) {
        const auto asked = asked_.find(call);
        if (asked == asked_.end() || !read_.insert(call).second) {
            continue;
        }
        const AnswerCaller &answer = answers.front();
        Session &session = sessions_[asked->second.session];
        session.waiting = false;
        if (!answer.answer) {
            const ErrorKind kind = answer.answer.error().kind;
            // A lost write ends the promise for what came before it; a caller that goes on accepts that.
            if (kind == ErrorKind::LostWrite) {
                session.token = answer.token;
                session.acknowledged = 0;
            }
            if (asked->second.order && errorResponseFor(kind).executed != Executed::No) {
                session.uncertain = asked->second.statement;
            }
            if (asked->second.write && !asked->second.again && errorResponseFor(kind).executed == Executed::No) {
                ++refusedAsNotRun_[asked->second.statement];
            }
            continue;
        }
        if (asked->second.write && !asked->second.order) {
            session.acknowledged = std::max(session.acknowledged, asked->second.value);
        } else if (!asked->second.write) {
            RC_ASSERT(std::stoull(answer.answer->resultJson) >= asked->second.floor);
        }
        session.token = answer.token;
    }
}

void Scenario::disturb()
{
    switch (pick(12)) {
    case 0:
        faults_ = pick(3) * 10;
        break;
    case 1:
        if (killed_ == 0) {
            killed_ = 1 + pick(3);
            readAnswers();
            system.kill(killed_);
            for (Session &session : sessions_) {
                if (session.waiting && session.entry == killed_) {
                    session.waiting = false; // Its connection broke.
                    session.uncertain = session.order;
                }
            }
        }
        break;
    case 2:
        if (killed_ != 0) {
            system.restart(killed_);
            killed_ = 0;
        }
        break;
    case 3:
        system.lag[1 + pick(3)] = 1;
        break;
    case 4:
        system.lag.clear();
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
        system.table.homes[static_cast<std::size_t>(pick(3))].entry = FakeSystem::vm(1 + pick(3));
        ++system.table.version;
        system.pushLeases();
        break;
    default:
        break;
    }
}

void Scenario::step()
{
    for (int count = pick(4); count > 0; --count) {
        send();
    }
    system.settle();
    if (pick(3) == 0) {
        disturb();
    }
    system.advance(std::chrono::milliseconds(10 * (1 + pick(4))));
    readAnswers();
}

void Scenario::run(int steps)
{
    for (int count = 0; count < steps; ++count) {
        step();
    }
    faults_ = 0;
    system.lag.clear();
    system.advance(std::chrono::seconds(1));
    readAnswers();
}

void Scenario::checkAnswers()
{
    std::map<std::string, int> executed;
    for (const auto &[number, database] : system.databases) {
        RC_ASSERT(database.mixed == 0);
        for (const auto &[statement, times] : database.executions) {
            executed[statement] += times;
        }
    }
    for (const auto &[statement, times] : executed) {
        RC_ASSERT(times == 1);
        RC_ASSERT(refusedAsNotRun_[statement] == 0);
    }
    for (const auto &[call, answers] : system.answers) {
        RC_ASSERT(answers.size() == 1U);
    }
}

TEST_GROUP(RelayProperties) {};

TEST(RelayProperties, NothingRunsTwiceNothingRefusedAsNotRunRanAndSessionsReadTheirWrites)
{
    const bool held = rc::check([](std::uint32_t seed) {
        Scenario scenario(seed);
        scenario.run(60);
        scenario.checkAnswers();
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
                const CallId call = system.callRequest(entry, request);
                system.advance(std::chrono::milliseconds(30));
                if (system.answers.contains(call) && system.answer(call).answer) {
                    open.emplace_back(call, system.answer(call).answer->transaction);
                }
                continue;
            }
            if (open.empty()) {
                continue;
            }
            const std::size_t index = random() % open.size();
            request.transaction = open[index].second;
            const std::uint32_t dice = random() % 6;
            system.fate = [&random](const std::string &) { return random() % 20 == 0 ? Fate::Lose : Fate::Deliver; };
            if (dice == 0) {
                request.action = random() % 2 == 0 ? StatementAction::Commit : StatementAction::Rollback;
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                request.kind = StatementKind::Write;
                request.statement = "put " + request.transaction.value + " " + std::to_string(step);
                written[request.transaction.value].insert(request.statement);
            }
            system.callRequest(entry, request);
            system.advance(std::chrono::milliseconds(10 * (random() % 4)));
            system.fate = nullptr;
        }
        system.advance(std::chrono::seconds(12));
        for (const auto &[number, database] : system.databases) {
            RC_ASSERT(database.mixed == 0);
            RC_ASSERT(database.transactions.empty());
        }
        for (const auto &[call, answers] : system.answers) {
            RC_ASSERT(answers.size() == 1U);
        }
    });
    CHECK(held);
}
