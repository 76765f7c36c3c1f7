// Random sessions against servers that fail in random ways: nothing is read too old, written twice, or run elsewhere
// than in its own transaction.
#include "fakeservice.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ProxyProperty) {};

namespace {

/// Three callers; each knows what it was told.
class History
{
public:
    explicit History(ReadGuarantee guarantee) : guarantee_(guarantee)
    {
        service.configure(guarantee);
        service.announce(2);
        for (const char *name : { "a", "b", "c" }) {
            sessions_.push_back(service.open(name));
        }
    }

    void step()
    {
        const SessionId session = sessions_[*rc::gen::inRange<std::size_t>(0, sessions_.size())];
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
        case 1:
        case 2:
            write(session);
            break;
        case 3:
        case 4:
        case 5:
            read(session);
            break;
        case 6:
            transact(session);
            break;
        case 7: {
            const std::string value = std::to_string(*rc::gen::inRange(0, 3));
            service.send(session, StatementType::Set, "colour", value);
            service.callers[session].values["colour"] = value;
            service.answer(session);
            break;
        }
        case 8:
            service.promote("b" + std::to_string(*rc::gen::inRange(0, 3)));
            forgetLost();
            break;
        case 9:
            service.announce(2);
            break;
        case 10: {
            FakeService::Server &server = service.servers["b" + std::to_string(*rc::gen::inRange(0, 3))];
            server.silent = *rc::gen::inRange(0, 4) == 0;
            server.losesAnswers = *rc::gen::inRange(0, 4) == 0;
            server.busy = *rc::gen::inRange(0, 4) == 0;
            break;
        }
        default:
            service.lag = *rc::gen::element<Duration>(20ms, 200ms, 1s, 5s);
            service.run(*rc::gen::element<Duration>(1ms, 30ms, 500ms));
            break;
        }
    }

    FakeService service;

private:
    void write(SessionId session)
    {
        const std::string id = service.send(session, StatementType::Write, "x");
        const CallerAnswer answer = service.answer(session);
        note(session, id, answer);
    }

    void note(SessionId session, const std::string &id, const CallerAnswer &answer)
    {
        const auto found = std::find_if(service.committed.begin(), service.committed.end(),
            [&id](const FakeService::Write &write) { return write.id == id; });
        if (answer.code == AnswerCode::Ok) {
            if (found != service.committed.end()) {
                acked_.push_back({ found->number, session, service.now });
            }
            return;
        }
        const bool promised = answer.code != AnswerCode::InDoubt && answer.code != AnswerCode::TimedOut
            && answer.code != AnswerCode::Failed;
        RC_ASSERT(!promised || found == service.committed.end());
    }

    void read(SessionId session)
    {
        const std::uint64_t least = leastFor(session);
        service.send(session, StatementType::Read, "x");
        const CallerAnswer answer = service.answer(session);
        if (answer.code == AnswerCode::Ok && !answer.rows.empty()) {
            RC_ASSERT(std::stoull(answer.rows.front()) >= least);
        }
    }

    /// Returns the number of the newest write that a read which starts now must see.
    std::uint64_t leastFor(SessionId session) const
    {
        std::uint64_t least = 0;
        for (const Acked &acked : acked_) {
            const bool own = guarantee_ == ReadGuarantee::OwnWrites && acked.session == session;
            const bool old = service.now - acked.at > 1500ms;
            if (guarantee_ == ReadGuarantee::Primary || own || old) {
                least = std::max(least, acked.number);
            }
        }
        return least;
    }

    void transact(SessionId session)
    {
        service.send(session, StatementType::Begin);
        service.answer(session);
        std::vector<std::string> ids;
        const int count = *rc::gen::inRange(1, 4);
        bool good = true;
        for (int at = 0; at < count && good; ++at) {
            ids.push_back(service.send(session, StatementType::Write, "x"));
            good = service.answer(session).code == AnswerCode::Ok;
            service.run(*rc::gen::element<Duration>(1ms, 50ms));
        }
        const bool commits = good && *rc::gen::inRange(0, 3) > 0;
        service.send(session, commits ? StatementType::Commit : StatementType::Rollback, commits ? "COMMIT" : "");
        const CallerAnswer answer = service.answer(session);
        RC_ASSERT(answer.state == TransactionState::Idle);
        for (const std::string &id : ids) {
            if (commits) {
                note(session, id, answer);
            } else {
                RC_ASSERT(!service.commitsOf.contains(id));
            }
        }
    }

    void forgetLost()
    {
        std::erase_if(acked_, [this](const Acked &acked) {
            return std::none_of(service.committed.begin(), service.committed.end(),
                [&acked](const FakeService::Write &write) { return write.number == acked.number; });
        });
    }

    struct Acked {
        std::uint64_t number;
        SessionId session;
        Instant at;
    };

    ReadGuarantee guarantee_;
    std::vector<SessionId> sessions_;
    std::vector<Acked> acked_;
};

} // namespace

static void checkHistory(ReadGuarantee guarantee)
{
    History history(guarantee);
    const int steps = *rc::gen::inRange(5, 40);
    for (int at = 0; at < steps; ++at) {
        history.step();
        RC_ASSERT(history.service.violation == std::string());
    }
}

TEST(ProxyProperty, PrimaryRoutesSeeEveryAcknowledgedWrite)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::Primary); }));
}

TEST(ProxyProperty, SessionsSeeTheirOwnWrites)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::OwnWrites); }));
}

TEST(ProxyProperty, BoundedReadsAreNoOlderThanTheirBound)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::BoundedStaleness); }));
}
