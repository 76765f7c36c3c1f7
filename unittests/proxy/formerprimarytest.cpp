// Bounded reads of an entry that does not know that the primary was replaced, while replicas lag and other entries
// commit at the new primary.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

constexpr Duration MaxStaleness = 1500ms; // As FakeService::configure() sets it.
constexpr std::size_t ReaderCount = 6;

/// Reads all the time in some sessions, commits at the primary, and compares each read with the commits that it must
/// see.
class ReadJudge
{
public:
    explicit ReadJudge(FakeService &service) : service_(service)
    {
        for (std::size_t at = 0; at < ReaderCount; ++at) {
            readers_[service.open("r" + std::to_string(at))];
        }
    }

    /// Counts of the reads that were answered since the last call.
    struct Counts {
        std::size_t served = 0;
        std::size_t stale = 0;
        std::size_t rejected = 0;
    };

    Counts run(Duration duration)
    {
        counts_ = {};
        constexpr Duration Step = 10ms;
        constexpr Duration CommitInterval = 50ms;
        for (const Instant end = service_.now + duration; service_.now < end;) {
            if (service_.now >= nextCommitAt_) {
                committedAt_[service_.commitElsewhere("x")] = service_.now;
                nextCommitAt_ = service_.now + CommitInterval;
            }
            for (auto &[session, sentAt] : readers_) {
                collect(session, sentAt);
                if (!sentAt) {
                    sentAt = service_.now;
                    service_.send(session, StatementType::Read, "x");
                }
            }
            service_.run(Step);
        }
        return counts_;
    }

private:
    void collect(SessionId session, std::optional<Instant> &sentAt)
    {
        std::deque<CallerResponse> &responses = service_.callers[session].responses;
        if (responses.empty()) {
            return;
        }
        const CallerResponse response = responses.front();
        responses.pop_front();
        if (response.code == ResponseCode::Ok) {
            ++counts_.served;
            counts_.stale += std::stoull(response.rows.at(0)) < newestRequired(*sentAt) ? 1 : 0;
        } else {
            ++counts_.rejected;
        }
        sentAt.reset();
    }

    /// Returns the number of the newest commit that a read sent at \p sentAt must see. Promotions have discarded some.
    std::uint64_t newestRequired(Instant sentAt) const
    {
        std::uint64_t newest = 0;
        for (const FakeService::Write &write : service_.committed) {
            const auto committed = committedAt_.find(write.number);
            const bool isRequired = committed != committedAt_.end() && committed->second < sentAt - MaxStaleness;
            newest = isRequired ? std::max(newest, write.number) : newest;
        }
        return newest;
    }

    FakeService &service_;
    std::map<SessionId, std::optional<Instant>> readers_; ///< Time at which the outstanding read was sent.
    std::map<std::uint64_t, Instant> committedAt_;
    Instant nextCommitAt_ {};
    Counts counts_;
};

} // namespace

TEST_GROUP(FormerPrimary)
{
    FakeService service;

    SessionId beginAndRead(const std::string &name)
    {
        const SessionId session = service.open(name);
        service.send(session, StatementType::Begin);
        CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
        service.send(session, StatementType::Read, "x");
        CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
        return session;
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

// Reads older than their route allows, after a former primary answered the COMMIT of a transaction without writes and
// its position passed for that of the primary. Reads are judged before, between and after, so that the test does not
// pass because nothing was read.
TEST(FormerPrimary, NoReadIsTooOldAfterTheCommitOfAnEmptyTransaction)
{
    service.configure(ReadGuarantee::BoundedStaleness);
    service.sendTopology();
    ReadJudge judge(service);
    const ReadJudge::Counts before = judge.run(2s);
    CHECK_EQUAL(0U, before.stale);
    CHECK(before.served >= 200);
    const std::vector<SessionId> idle { beginAndRead("t0"), beginAndRead("t1") };
    service.promote("b1"); // The core is not notified.
    service.replicationLag = 3s;
    // The last position of the former primary permits reads at replicas until it is older than the bound.
    const ReadJudge::Counts withinBound = judge.run(1300ms);
    CHECK_EQUAL(0U, withinBound.stale);
    CHECK(withinBound.served >= 100);
    judge.run(700ms);
    for (const SessionId session : idle) {
        service.send(session, StatementType::Commit, "COMMIT");
        CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    }
    // The entry has no valid position left, and the former primary rejects its BEGIN, so reads may be rejected.
    const ReadJudge::Counts afterCommit = judge.run(1500ms);
    CHECK_EQUAL(0U, afterCommit.stale);
    CHECK(afterCommit.served + afterCommit.rejected >= ReaderCount);
    service.sendTopology();
    const ReadJudge::Counts afterUpdate = judge.run(2s);
    CHECK_EQUAL(0U, afterUpdate.stale);
    CHECK(afterUpdate.served >= 200);
}

// Guards against a silent new primary that is reported as confirmed by the last position of its predecessor: control
// then replaces it late, and lets an entry that cannot reach it relay statements to it.
TEST(FormerPrimary, ConfirmationOfTheFormerPrimaryIsNotReportedForItsSuccessor)
{
    service.configure(ReadGuarantee::Primary);
    service.sendTopology();
    const SessionId session = service.open("a");
    service.send(session, StatementType::Write, "x");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    const auto observation = [this]() {
        EntryReport report;
        service.core.fillReport(service.now, report);
        CHECK_EQUAL(1U, report.primaries.size());
        return report.primaries.front();
    };
    CHECK(observation().isConfirmed);
    EntryUpdate update;
    Topology topology;
    topology.index = 100; // After those of FakeService.
    topology.baseIndex = 1;
    topology.primaries.push_back({ ServiceId { "s" }, BackendId { "b1" }, 2 });
    update.topology = topology;
    service.promote("b1");
    service.servers["b1"].isSilent = true;
    service.core.onControlUpdate(service.now, update);
    CHECK_EQUAL(std::string("b1"), observation().backend.value);
    CHECK(!observation().isConfirmed);
}
