// Random sessions at the end of a drain, with servers that fail: every statement has a response before the entry ends,
// and a response that promises that nothing was kept is true.
#include "fakeservice.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(DrainingProperty) {};

namespace {

class Drain
{
public:
    Drain()
    {
        service_.configure(*rc::gen::element(ReadGuarantee::Primary, ReadGuarantee::ReadYourWrites),
            *rc::gen::element<std::chrono::milliseconds>(300ms, 800ms, 10s));
        service_.sendTopology(2);
        for (const char *name : { "a", "b", "c" }) {
            sessions_.push_back({ service_.open(name) });
        }
    }

    void play()
    {
        for (int steps = *rc::gen::inRange(0, 20); steps > 0; --steps) {
            step();
        }
        const Duration grace = *rc::gen::element<Duration>(0ms, 200ms, 1s, 3s, 6s);
        service_.core.drain(service_.now, grace);
        // An entry ticks every 10 ms, so that it notices the end of the grace period that much later.
        const Instant end = service_.now + grace + 10ms;
        while (!isDrainedAfterTick()) {
            RC_ASSERT(service_.now <= end + LongestStep);
            step();
        }
        for (const OpenSession &session : sessions_) {
            RC_ASSERT(service_.callers[session.id].responses.size() == session.statements);
        }
        for (const auto &[id, statement] : singleWrites_) {
            const CallerResponse &response = service_.callers[statement.session].responses.at(statement.index);
            const bool isPromise = response.code == ResponseCode::Busy || response.code == ResponseCode::Aborted
                || response.code == ResponseCode::Lagging || response.code == ResponseCode::NotPrimary;
            RC_ASSERT((!isPromise || service_.commitCounts[id] == 0));
            RC_ASSERT((response.code != ResponseCode::Ok || service_.commitCounts[id] == 1));
        }
        RC_ASSERT(service_.violation.empty());
    }

private:
    /// The replacement of a primary, which takes 500 ms.
    static constexpr Duration LongestStep = 500ms;

    /// An entry ticks before it asks whether the drain has finished.
    bool isDrainedAfterTick()
    {
        service_.core.tick(service_.now);
        service_.performActions();
        return service_.core.isDrained(service_.now);
    }

    struct OpenSession {
        SessionId id = 0;
        std::size_t statements = 0;
        bool isInTransaction = false;
    };
    struct SentWrite {
        SessionId session = 0;
        std::size_t index = 0;
    };

    void step()
    {
        switch (*rc::gen::inRange(0, 8)) {
        case 7:
            open();
            break;
        case 1: {
            FakeService::Server &server = service_.servers["b" + std::to_string(*rc::gen::inRange(0, 3))];
            server.isSilent = *rc::gen::inRange(0, 3) == 0;
            server.dropsResponses = *rc::gen::inRange(0, 4) == 0;
            server.isBusy = *rc::gen::inRange(0, 4) == 0;
            break;
        }
        case 2:
            service_.promote("b" + std::to_string(*rc::gen::inRange(0, 3)));
            service_.sendTopology(2);
            break;
        case 3:
        case 4:
        case 5:
            send(sessions_[*rc::gen::inRange<std::size_t>(0, sessions_.size())]);
            break;
        default:
            service_.run(*rc::gen::element<Duration>(1ms, 10ms, 60ms, 300ms));
            break;
        }
    }

    void open()
    {
        const SessionId id = service_.open("d" + std::to_string(sessions_.size()));
        // A rejected session has one response.
        sessions_.push_back({ id, service_.callers[id].isRejected ? 1U : 0U });
    }

    void send(OpenSession &session)
    {
        FakeService::Caller &caller = service_.callers[session.id];
        if (!caller.isAccepted || caller.isClosed || caller.responses.size() < session.statements) {
            return; // A caller sends its next statement after the response to the last one.
        }
        if (session.isInTransaction && *rc::gen::inRange(0, 3) == 0) {
            service_.send(session.id, StatementType::Commit);
            session.isInTransaction = false;
        } else if (!session.isInTransaction && *rc::gen::inRange(0, 3) == 0) {
            service_.send(session.id, StatementType::Begin);
            session.isInTransaction = true;
        } else if (*rc::gen::inRange(0, 2) == 0) {
            const std::string id = service_.send(session.id, StatementType::Write, "x");
            if (!session.isInTransaction) {
                singleWrites_[id] = { session.id, session.statements };
            }
        } else {
            service_.send(session.id, StatementType::Read, "x");
        }
        ++session.statements;
    }

    FakeService service_;
    std::vector<OpenSession> sessions_;
    std::map<std::string, SentWrite> singleWrites_;
};

} // namespace

// Guards against statements that are cut, or promises that are broken, by the end of a drain.
TEST(DrainingProperty, EveryStatementHasResponse)
{
    CHECK(rc::check("every statement of a drain has a response", []() { Drain().play(); }));
}
