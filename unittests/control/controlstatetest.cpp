#include "daisyrelay/control.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static ConfigChange makeChange(std::uint64_t expected, const std::string &id)
{
    return { expected, id, R"({"classes":{}})", VmId { "vm1" }, "summary" };
}

static ControlState reloaded(const ControlState &state)
{
    const Expected<ControlState> copy = ControlState::decodeSnapshot(state.encodeSnapshot());
    CHECK(copy.has_value());
    return *copy;
}

TEST_GROUP(ControlStateRegressions) {};

// Guards against a lost update: two operators change the same version, the control VM restarts, and both resend.
TEST(ControlStateRegressions, ConcurrentChangesHaveOneWinnerAndResendAfterRestartGetsFirstOutcome)
{
    ControlState state;
    for (std::uint64_t version = 0; version < 6; ++version) {
        CHECK(state.apply(makeChange(version, "early-" + std::to_string(version)), version + 1).isAccepted);
    }
    const ConfigOutcome first = state.apply(makeChange(6, "operator-a"), 7);
    const ConfigOutcome second = state.apply(makeChange(6, "operator-b"), 8);
    CHECK(first.isAccepted);
    CHECK_EQUAL(7, first.version);
    CHECK(!second.isAccepted);
    CHECK(second.error == ErrorKind::VersionConflict);
    CHECK_EQUAL(7, second.version);

    ControlState restarted = reloaded(state);
    CHECK(restarted.apply(makeChange(7, "later"), 9).isAccepted);
    ConfigChange resent = makeChange(6, "operator-a");
    resent.receivedBy = VmId { "vm5" };
    CHECK(restarted.apply(resent, 10) == first);
    CHECK(restarted.apply(makeChange(6, "operator-b"), 11) == second);
    CHECK_EQUAL(8, restarted.configVersion());
    CHECK_EQUAL(8, restarted.history().size());
}

// Guards against applying a change twice after its outcome was evicted from memory.
TEST(ControlStateRegressions, ResendOfForgottenChangeIsRejected)
{
    constexpr std::uint64_t MoreThanRemembered = 10001;
    ControlState state;
    CHECK(state.apply(makeChange(0, "first"), 1).isAccepted);
    for (std::uint64_t version = 1; version <= MoreThanRemembered; ++version) {
        CHECK(state.apply(makeChange(version, "change-" + std::to_string(version)), version + 1).isAccepted);
    }
    CHECK(!state.outcomeOf("first").has_value());
    const ConfigOutcome outcome = state.apply(makeChange(0, "first"), MoreThanRemembered + 2);
    CHECK(!outcome.isAccepted);
    CHECK_EQUAL(MoreThanRemembered + 1, state.configVersion());
    CHECK(state.history().size() <= 200);
}

TEST_GROUP(ControlState) {};

TEST(ControlState, RejectedChangesDoNotEvictAcceptedOutcome)
{
    constexpr int RejectedChanges = 10050;
    ControlState state;
    CHECK(state.apply(makeChange(0, "accepted"), 1).isAccepted);
    for (int i = 0; i < RejectedChanges; ++i) {
        CHECK(!state.apply(makeChange(0, "refused-" + std::to_string(i)), 2).isAccepted);
    }
    CHECK(state.apply(makeChange(0, "accepted"), 3).isAccepted);
    CHECK_EQUAL(1, state.configVersion());
}

TEST(ControlState, DamagedSnapshotIsRejected)
{
    ControlState state;
    state.apply(makeChange(0, "a"), 1);
    state.apply(GroupTermCommand { { { ServiceId { "s" }, GroupId { "g" } }, 3, BackendId { "db" }, 9 } });
    const std::string bytes = state.encodeSnapshot();
    CHECK(reloaded(state) == state);
    CHECK(rc::check([&bytes]() {
        std::string damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto flip = *rc::gen::inRange(1, 256);
        damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ static_cast<unsigned char>(flip));
        RC_ASSERT(!ControlState::decodeSnapshot(damaged).has_value());
        RC_ASSERT(!ControlState::decodeSnapshot(bytes.substr(0, at)).has_value());
    }));
}

TEST(ControlState, SnapshotAtAnyStepPreservesState)
{
    CHECK(rc::check([]() {
        ControlState uninterrupted;
        ControlState interrupted;
        const auto steps = *rc::gen::inRange<std::uint64_t>(1, 60);
        for (std::uint64_t index = 1; index <= steps; ++index) {
            const std::string id = std::to_string(*rc::gen::inRange(0, 20));
            const ConfigChange change
                = makeChange(uninterrupted.configVersion() + *rc::gen::inRange<std::uint64_t>(0, 2), id);
            const std::optional<ConfigOutcome> before = uninterrupted.outcomeOf(id);
            const std::uint64_t versionBefore = uninterrupted.configVersion();
            const ConfigOutcome outcome = uninterrupted.apply(change, index);
            RC_ASSERT(interrupted.apply(change, index) == outcome);
            RC_ASSERT((!before || *before == outcome));
            RC_ASSERT(uninterrupted.configVersion() >= versionBefore);
            RC_ASSERT(uninterrupted.configVersion() - versionBefore == (outcome.isAccepted && !before ? 1 : 0));
            if (*rc::gen::inRange(0, 4) == 0) {
                interrupted = *ControlState::decodeSnapshot(interrupted.encodeSnapshot());
            }
        }
        RC_ASSERT(interrupted == uninterrupted);
    }));
}

TEST(ControlState, TermHistoryIdentifiesLostPositions)
{
    const GroupKey group { ServiceId { "s" }, GroupId { "g" } };
    ControlState state;
    state.apply(GroupTermCommand { { group, 1, BackendId { "a" }, 1 } });
    state.apply(GroupTermCommand { { group, 2, {}, 0 } });
    state.apply(GroupTermCommand { { group, 2, BackendId { "b" }, 100 } });
    state.apply(GroupTermCommand { { group, 4, BackendId { "c" }, 90 } });
    CHECK(!state.apply(GroupTermCommand { { group, 3, BackendId { "a" }, 200 } }));
    const GroupTerm &term = state.terms().at(group);
    CHECK(!term.isLost({ 1, 89 }));
    CHECK(term.isLost({ 1, 90 })); // Term 2 kept the position, but term 4 started before it.
    CHECK(term.isLost({ 2, 95 }));
    CHECK(!term.isLost({ 4, 500 }));
    CHECK(!term.isLost({}));
    for (Term later = 5; later < 40; ++later) {
        state.apply(GroupTermCommand { { group, later, BackendId { "a" }, 1000 + later } });
    }
    CHECK_EQUAL(MaxTermStarts, state.terms().at(group).starts.size());
    CHECK(state.terms().at(group).isLost({ 2, 1 }));
}

TEST(ControlState, MembersChangeOneGenerationAtATime)
{
    const GroupKey group { ServiceId { "s" }, GroupId { "g" } };
    const BackendId a { "a" };
    const BackendId b { "b" };
    const BackendId c { "c" };
    ControlState state;
    CHECK(!state.apply(GroupMembersCommand { group, 1, {}, true }));
    CHECK(state.apply(GroupMembersCommand { group, 1, { a, b, c }, false }));
    CHECK(state.members().at(group).canPromote({ b, c }));
    CHECK(!state.members().at(group).canPromote({ c }));
    CHECK(state.apply(GroupMembersCommand { group, 2, { a, b }, false }));
    CHECK(!state.members().at(group).canPromote({ b })); // A write may be on a and c only.
    CHECK(state.members().at(group).canPromote({ b, c }));
    CHECK(!state.apply(GroupMembersCommand { group, 3, { a }, false }));
    CHECK(state.apply(GroupMembersCommand { group, 3, {}, true }));
    CHECK(state.members().at(group).canPromote({ b }));
    CHECK(!state.members().at(group).canPromote({}));
}
