// Heartbeats that are answered by a control VM other than the leader.
#include "daisyrelay/supervision.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Heartbeats)
{
    Instant now { 100s };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    Supervisor leader { log, metrics, 1 };
    SupervisionState state; ///< State of the follower.
    HeartbeatResponder follower { metrics, 7 };
    std::uint64_t index = 0;
    Term term = 1;

    void setup() override
    {
        leader.onLeadership(now, true, term, { VmId { "c1" }, VmId { "c2" } });
        commit(RecordBackend { heartbeat("b1", 1).record });
        exchangeDigest();
    }

    static BackendHeartbeat heartbeat(const std::string &name, std::uint64_t sequence)
    {
        return { { BackendId { name }, 1, ServiceId { "s" }, "10.0.0." + name.substr(1), 80, {}, 2, false, false },
            sequence };
    }

    void commit(const SupervisionCommand &command, bool isBehind = false)
    {
        ++index;
        leader.onCommitted(now, { 1, index, encodeSupervisionCommand(command), LogEntryKind::Command });
        if (!isBehind) {
            state.apply(index, command);
        }
    }

    std::optional<HeartbeatDigestResponse> exchangeDigest()
    {
        const std::optional<HeartbeatDigest> digest = follower.takeDigest(now, VmId { "c1" }, term, false);
        CHECK(digest.has_value());
        std::optional<HeartbeatDigestResponse> response = leader.onHeartbeatDigest(now, VmId { "c2" }, *digest);
        if (response) {
            follower.onResponse(VmId { "c1" }, *response);
        }
        return response;
    }

    /// Runs the leader for \p duration. \returns whether it proposed to remove a server.
    bool isRemovedWithin(Duration duration, bool sendsHeartbeats)
    {
        bool isRemoved = false;
        std::uint64_t sequence = 1;
        for (const Instant end = now + duration; now < end;) {
            now += 1s;
            if (sendsHeartbeats) {
                follower.accept(now, state, heartbeat("b1", ++sequence));
            }
            exchangeDigest();
            leader.tick(now);
            for (const SupervisionAction &action : leader.takeActions()) {
                const auto *proposal = std::get_if<ProposeSupervision>(&action);
                isRemoved
                    = isRemoved || (proposal != nullptr && std::holds_alternative<RemoveBackend>(proposal->command));
            }
        }
        return isRemoved;
    }
};

// Without digests the leader would remove each server that sends its heartbeats elsewhere.
TEST(Heartbeats, ServerHeardByAFollowerOnlyIsKept)
{
    CHECK(!isRemovedWithin(40s, true));
    CHECK(isRemovedWithin(40s, false));
}

TEST(Heartbeats, ChangesAndUnknownServersAreForwarded)
{
    CHECK(follower.accept(now, state, heartbeat("b1", 2)));
    CHECK(!follower.accept(now, state, heartbeat("b1", 1))); // Older than the last one.
    CHECK(!follower.accept(now, state, heartbeat("b2", 1)));
    BackendHeartbeat changed = heartbeat("b1", 3);
    changed.record.claimsPrimary = true;
    CHECK(!follower.accept(now, state, changed));
    changed = heartbeat("b1", 3);
    changed.record.startedAtMs = 2;
    CHECK(!follower.accept(now, state, changed));
}

// A follower that is cut off would keep servers from turning to a control VM that can record changes.
TEST(Heartbeats, FollowerWithoutContactToTheLeaderStopsAnswering)
{
    now += 2s;
    CHECK(follower.accept(now, state, heartbeat("b1", 2)));
    now += 1ms;
    CHECK(!follower.accept(now, state, heartbeat("b1", 3)));
    // The response counts from the sending of the digest, however late it arrives.
    const std::optional<HeartbeatDigest> digest = follower.takeDigest(now, VmId { "c1" }, term, false);
    const auto response = leader.onHeartbeatDigest(now, VmId { "c2" }, *digest);
    now += 2001ms;
    follower.onResponse(VmId { "c1" }, *response);
    CHECK(!follower.accept(now, state, heartbeat("b1", 4)));
}

TEST(Heartbeats, FollowerBehindTheLeaderForwards)
{
    now += 1s;
    commit(RecordBackend { heartbeat("b2", 1).record }, true);
    exchangeDigest();
    CHECK(!follower.accept(now, state, heartbeat("b1", 2)));
    state.apply(index, RecordBackend { heartbeat("b2", 1).record });
    CHECK(follower.accept(now, state, heartbeat("b1", 2)));
}

// A digest that was delayed or meant for another leader would keep a server alive that is silent.
TEST(Heartbeats, OutdatedAndForeignDigestsChangeOnlyACounter)
{
    const HeartbeatDigest digest { term, 7, 5, false, { { BackendId { "b1" }, 1, 2, 0 } } };
    CHECK(leader.onHeartbeatDigest(now, VmId { "c2" }, digest).has_value());
    CHECK(!leader.onHeartbeatDigest(now, VmId { "c2" }, digest).has_value());
    HeartbeatDigest other = digest;
    other.sequence = 4;
    CHECK(!leader.onHeartbeatDigest(now, VmId { "c2" }, other).has_value());
    other.sequence = 6;
    other.term = 2;
    CHECK(!leader.onHeartbeatDigest(now, VmId { "c2" }, other).has_value());
    CHECK(!leader.onHeartbeatDigest(now, VmId { "stranger" }, digest).has_value());
    other = { term, 7, 6, false, { { BackendId { "b9" }, 1, 1, 0 }, { BackendId { "b1" }, 2, 1, 0 } } };
    CHECK(leader.onHeartbeatDigest(now, VmId { "c2" }, other).has_value());
    CHECK_EQUAL(2U, metrics.value(R"(heartbeat_digests_ignored_total{reason="outdated"})"));
    CHECK_EQUAL(1U, metrics.value(R"(heartbeat_digests_ignored_total{reason="term"})"));
    CHECK_EQUAL(1U, metrics.value(R"(heartbeat_digests_ignored_total{reason="not-member"})"));
    CHECK_EQUAL(2U, metrics.value("heartbeat_digest_unknown_servers_total"));
}

// A new leader knows no heartbeats; it would not promote servers that were heard just before it was elected.
TEST(Heartbeats, LostDigestIsRepeatedAndANewLeaderGetsAll)
{
    follower.accept(now, state, heartbeat("b1", 2));
    now += 1s;
    CHECK_EQUAL(1U, follower.takeDigest(now, VmId { "c1" }, term, false)->heard.size());
    CHECK(!follower.takeDigest(now, VmId { "c1" }, term, false).has_value());
    now += 400ms;
    CHECK_EQUAL(1U, follower.takeDigest(now, VmId { "c1" }, term, false)->heard.size());
    now += 400ms;
    exchangeDigest();
    now += 1s;
    CHECK_EQUAL(0U, follower.takeDigest(now, VmId { "c1" }, term, false)->heard.size());
    const std::optional<HeartbeatDigest> first = follower.takeDigest(now, VmId { "c3" }, term + 1, false);
    CHECK_EQUAL(1U, first->heard.size());
    CHECK_EQUAL(2800U, first->heard.front().ageMs);
}

// A server that is told that its draining is recorded may stop at once, while entries still send statements to it.
TEST(Heartbeats, DrainingIsAcknowledgedAfterTheUpdateToTheEntries)
{
    for (int entry = 0; entry < 20; ++entry) {
        EntryReport report;
        report.runId = 1;
        report.sequence = 1;
        report.topologyIndex = index;
        leader.onReport(now, VmId { "e" + std::to_string(entry) }, report);
    }
    (void)leader.takeActions();
    BackendHeartbeat draining = heartbeat("b1", 2);
    draining.record.isDraining = true;
    CHECK(!follower.accept(now, state, draining));
    leader.onRequest(now, 1, draining);
    commit(RecordBackend { draining.record });
    leader.tick(now);
    std::size_t updates = 0;
    bool isAcknowledged = false;
    for (const SupervisionAction &action : leader.takeActions()) {
        const auto *update = std::get_if<SendEntryUpdate>(&action);
        if (update != nullptr && update->update.topology) {
            ++updates;
            CHECK(!isAcknowledged);
        }
        isAcknowledged = isAcknowledged || std::holds_alternative<SendControlResponse>(action);
    }
    CHECK_EQUAL(20U, updates);
    CHECK(isAcknowledged);
    CHECK(!follower.accept(now, state, draining));
}

TEST(Heartbeats, ManyServersAreSpreadOverTheControlVmsThatAnswer)
{
    CHECK(leader.heartbeatVms(now) == std::vector { VmId { "c2" } });
    const std::vector<VmId> vms { VmId { "c1" }, VmId { "c2" }, VmId { "c3" } };
    const BackendId backend { "b1" };
    CHECK(chooseHeartbeatVm(backend, MaxBackendsAtLeader, VmId { "c1" }, vms) == VmId { "c1" });
    std::map<VmId, int> counts;
    for (int server = 0; server < 300; ++server) {
        const BackendId id { "i-" + std::to_string(server) };
        const VmId chosen = chooseHeartbeatVm(id, 300, VmId { "c1" }, vms);
        ++counts[chosen];
        // Other servers keep their control VM when one is gone.
        const VmId later = chooseHeartbeatVm(id, 300, VmId { "c1" }, { VmId { "c1" }, VmId { "c2" } });
        CHECK(later == chosen || chosen == VmId { "c3" });
    }
    for (const VmId &vm : vms) {
        CHECK(counts[vm] > 50 && counts[vm] < 150);
    }
    now += 3001ms;
    CHECK(leader.heartbeatVms(now).empty());
}
