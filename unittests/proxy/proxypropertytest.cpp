// Random sessions with random server failures: no read violates its guarantee, no write takes effect twice, and no
// statement runs outside its own transaction.
#include "fakeservice.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ProxyProperty) {};

namespace {

/// Runs random steps in three sessions and checks the responses against the acknowledged writes.
class History
{
public:
    explicit History(ReadGuarantee guarantee) : guarantee_(guarantee)
    {
        service.configure(guarantee);
        service.sendTopology(2);
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
            runTransaction(session);
            break;
        case 7: {
            const std::string value = std::to_string(*rc::gen::inRange(0, 3));
            service.send(session, StatementType::Set, "colour", value);
            service.callers[session].values["colour"] = value;
            service.awaitResponse(session);
            break;
        }
        case 8:
            service.promote("b" + std::to_string(*rc::gen::inRange(0, 3)));
            forgetLostWrites();
            break;
        case 9:
            service.sendTopology(2);
            break;
        case 10: {
            FakeService::Server &server = service.servers["b" + std::to_string(*rc::gen::inRange(0, 3))];
            server.isSilent = *rc::gen::inRange(0, 4) == 0;
            server.dropsResponses = *rc::gen::inRange(0, 4) == 0;
            server.isBusy = *rc::gen::inRange(0, 4) == 0;
            break;
        }
        default:
            service.replicationLag = *rc::gen::element<Duration>(20ms, 200ms, 1s, 5s);
            service.run(*rc::gen::element<Duration>(1ms, 30ms, 500ms));
            break;
        }
    }

    FakeService service;

private:
    void write(SessionId session)
    {
        const std::string id = service.send(session, StatementType::Write, "x");
        const CallerResponse response = service.awaitResponse(session);
        recordOutcome(session, id, response);
    }

    void recordOutcome(SessionId session, const std::string &id, const CallerResponse &response)
    {
        const auto found = std::find_if(service.committed.begin(), service.committed.end(),
            [&id](const FakeService::Write &write) { return write.id == id; });
        if (response.code == ResponseCode::Ok) {
            if (found != service.committed.end()) {
                acknowledged_.push_back({ found->number, session, service.now });
            }
            return;
        }
        const bool mustNotCommit = response.code != ResponseCode::InDoubt && response.code != ResponseCode::TimedOut
            && response.code != ResponseCode::Failed;
        RC_ASSERT((!mustNotCommit || found == service.committed.end()));
    }

    void read(SessionId session)
    {
        const std::uint64_t minNumber = minVisibleWrite(session);
        service.send(session, StatementType::Read, "x");
        const CallerResponse response = service.awaitResponse(session);
        if (response.code == ResponseCode::Ok && !response.rows.empty()) {
            RC_ASSERT(std::stoull(response.rows.front()) >= minNumber);
        }
    }

    /// Returns the number of the newest write that a read starting now must see.
    std::uint64_t minVisibleWrite(SessionId session) const
    {
        std::uint64_t minNumber = 0;
        for (const AcknowledgedWrite &acknowledged : acknowledged_) {
            const bool isOwn = guarantee_ == ReadGuarantee::ReadYourWrites && acknowledged.session == session;
            const bool isOld = service.now - acknowledged.at > 1500ms;
            if (guarantee_ == ReadGuarantee::Primary || isOwn || isOld) {
                minNumber = std::max(minNumber, acknowledged.number);
            }
        }
        return minNumber;
    }

    void runTransaction(SessionId session)
    {
        service.send(session, StatementType::Begin);
        service.awaitResponse(session);
        std::vector<std::string> ids;
        const int count = *rc::gen::inRange(1, 4);
        bool allSucceeded = true;
        for (int at = 0; at < count && allSucceeded; ++at) {
            ids.push_back(service.send(session, StatementType::Write, "x"));
            allSucceeded = service.awaitResponse(session).code == ResponseCode::Ok;
            service.run(*rc::gen::element<Duration>(1ms, 50ms));
        }
        const bool shouldCommit = allSucceeded && *rc::gen::inRange(0, 3) > 0;
        service.send(
            session, shouldCommit ? StatementType::Commit : StatementType::Rollback, shouldCommit ? "COMMIT" : "");
        const CallerResponse response = service.awaitResponse(session);
        RC_ASSERT(response.state == TransactionState::Idle);
        for (const std::string &id : ids) {
            if (shouldCommit) {
                recordOutcome(session, id, response);
            } else {
                RC_ASSERT(!service.commitCounts.contains(id));
            }
        }
    }

    void forgetLostWrites()
    {
        std::erase_if(acknowledged_, [this](const AcknowledgedWrite &acknowledged) {
            return std::none_of(service.committed.begin(), service.committed.end(),
                [&acknowledged](const FakeService::Write &write) { return write.number == acknowledged.number; });
        });
    }

    struct AcknowledgedWrite {
        std::uint64_t number;
        SessionId session;
        Instant at;
    };

    ReadGuarantee guarantee_;
    std::vector<SessionId> sessions_;
    std::vector<AcknowledgedWrite> acknowledged_;
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

TEST(ProxyProperty, PrimaryReadsSeeEveryAcknowledgedWrite)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::Primary); }));
}

TEST(ProxyProperty, SessionsSeeTheirOwnWrites)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::ReadYourWrites); }));
}

TEST(ProxyProperty, BoundedReadsSatisfyStalenessBound)
{
    CHECK(rc::check([]() { checkHistory(ReadGuarantee::BoundedStaleness); }));
}
