#include "daisyrelay/membership.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

namespace {

BackendAnnouncement makeAnnouncement(Position position, bool leaving = false, std::uint16_t port = 5000)
{
    BackendAnnouncement announcement;
    announcement.id = BackendId { "g1-1" };
    announcement.group = { ServiceId { "rotable-db" }, GroupId { "g1" } };
    announcement.zone = ZoneId { "coanda" };
    announcement.host = "127.0.0.1";
    announcement.port = port;
    announcement.connections = 16;
    announcement.slots = 2;
    announcement.point = { 1, position };
    announcement.isLeaving = leaving;
    return announcement;
}

} // namespace

TEST_GROUP(AnnouncementRegressions)
{
    Counters counters;
    AnnouncementDirectory first { {}, counters };
    AnnouncementDirectory second { {}, counters };
    Instant now { std::chrono::hours(1) };
    BackendId id { "g1-1" };

    void exchange()
    {
        if (const auto update = first.current(now, id); update) {
            second.merge(now, *update);
        }
        if (const auto update = second.current(now, id); update) {
            first.merge(now, *update);
        }
    }
};

TEST(AnnouncementRegressions, OldAnnouncementDoesNotRevertLeaving)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    exchange();
    const BackendAnnouncement old = *first.current(now, id);
    second.recordAnnouncement(now, makeAnnouncement(11, true));
    // The first VM has not received that the server left and records further announcements.
    first.recordAnnouncement(now, makeAnnouncement(12));
    first.recordAnnouncement(now, makeAnnouncement(13));
    exchange();
    CHECK(first.current(now, id)->isLeaving);
    CHECK(second.current(now, id)->isLeaving);
    CHECK(first.merge(now, old) == AnnouncementOutcome::Old);
    CHECK(first.recordAnnouncement(now, makeAnnouncement(12)) == AnnouncementOutcome::Rejected);
    CHECK(first.current(now, id)->isLeaving);
    CHECK_EQUAL(1, counters.value("announcements.refused.after-leaving"));
}

TEST(AnnouncementRegressions, ReturningServerIsAccepted)
{
    first.recordAnnouncement(now, makeAnnouncement(10, true));
    exchange();
    now += std::chrono::seconds(4);
    CHECK(second.recordAnnouncement(now, makeAnnouncement(11)) == AnnouncementOutcome::Changed);
    exchange();
    CHECK(!first.current(now, id)->isLeaving);
    CHECK(!second.current(now, id)->isLeaving);
}

TEST(AnnouncementRegressions, ReorderedAnnouncementsConvergeToNewest)
{
    std::vector<BackendAnnouncement> sent;
    for (Position position = 1; position <= 6; ++position) {
        first.recordAnnouncement(now, makeAnnouncement(position));
        sent.push_back(*first.current(now, id));
    }
    CHECK(rc::check([this, &sent]() {
        AnnouncementDirectory receiver({}, counters);
        const auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, sent.size()));
        Position highest = 0;
        for (const std::size_t index : order) {
            receiver.merge(now, sent[index]);
            highest = std::max(highest, sent[index].point.position);
            RC_ASSERT(receiver.current(now, id)->point.position == highest);
        }
    }));
}

TEST(AnnouncementRegressions, DuplicateIdKeepsKnownServer)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    for (int turn = 0; turn < 8; ++turn) {
        now += std::chrono::milliseconds(250);
        CHECK(first.recordAnnouncement(now, makeAnnouncement(900, false, 6000)) == AnnouncementOutcome::Rejected);
        CHECK(first.recordAnnouncement(now, makeAnnouncement(10)) == AnnouncementOutcome::Refreshed);
    }
    CHECK_EQUAL(5000, first.current(now, id)->port);
    CHECK_EQUAL(8, counters.value("announcements.refused.duplicate-id"));
    CHECK_EQUAL(6000, first.duplicates().at(id).port);
}

TEST(AnnouncementRegressions, DuplicateIdOnTwoVmsConvergesToOneServer)
{
    first.recordAnnouncement(now, makeAnnouncement(10, false, 6000));
    second.recordAnnouncement(now, makeAnnouncement(10, false, 5000));
    exchange();
    CHECK_EQUAL(5000, first.current(now, id)->port);
    CHECK_EQUAL(5000, second.current(now, id)->port);
}

TEST(AnnouncementRegressions, FlappingServerConvergesToLastState)
{
    CHECK(rc::check([this](const std::vector<bool> &states) {
        AnnouncementDirectory left({}, counters);
        AnnouncementDirectory right({}, counters);
        Instant at = now;
        bool last = false;
        for (const bool leaving : states) {
            (at.time_since_epoch().count() / 1000 % 2 == 0 ? left : right)
                .recordAnnouncement(at, makeAnnouncement(1, leaving));
            last = leaving;
            at += std::chrono::milliseconds(700);
        }
        // The server continues to announce its last state.
        for (int repeat = 0; repeat < 12 && !states.empty(); ++repeat) {
            (repeat % 2 == 0 ? left : right).recordAnnouncement(at, makeAnnouncement(1, last));
            left.merge(at, *right.current(at, id));
            right.merge(at, *left.current(at, id));
            at += std::chrono::milliseconds(400);
        }
        if (!states.empty()) {
            RC_ASSERT(left.current(at, id)->isLeaving == last);
            RC_ASSERT(right.current(at, id)->isLeaving == last);
        }
    }));
}

TEST(AnnouncementRegressions, InvalidAnnouncementIsRejectedAndCounted)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    BackendAnnouncement other = makeAnnouncement(11);
    other.group.group = GroupId { "g2" };
    CHECK(first.recordAnnouncement(now, other) == AnnouncementOutcome::Rejected);
    CHECK_EQUAL(1, counters.value("announcements.refused.group-changed"));
    BackendAnnouncement invalid = makeAnnouncement(11);
    invalid.slots = 1000;
    CHECK(first.recordAnnouncement(now, invalid) == AnnouncementOutcome::Rejected);
    invalid = makeAnnouncement(Position { 1 } << 60U);
    CHECK(first.recordAnnouncement(now, invalid) == AnnouncementOutcome::Rejected);
    CHECK(first.merge(now, invalid) == AnnouncementOutcome::Rejected);
    CHECK_EQUAL(3, counters.value("announcements.refused.absurd"));
    CHECK_EQUAL(10, first.current(now, id)->point.position);
}

TEST(AnnouncementRegressions, SilentServerExpiresOnEveryVm)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    now += std::chrono::seconds(2);
    exchange();
    now += std::chrono::milliseconds(1100);
    CHECK_EQUAL(1, second.expire(now).size());
    CHECK_EQUAL(1, first.expire(now).size());
}

TEST(AnnouncementRegressions, PositionUpdateAppliesOnlyToMatchingServer)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    exchange();
    first.recordAnnouncement(now, makeAnnouncement(20));
    CHECK(second.merge(now, *first.positionUpdate(now, id)).first == AnnouncementOutcome::Refreshed);
    CHECK_EQUAL(20, second.current(now, id)->point.position);
    AnnouncementDirectory duplicate({}, counters);
    duplicate.recordAnnouncement(now, makeAnnouncement(900, false, 6000));
    CHECK(second.merge(now, *duplicate.positionUpdate(now, id)).first == AnnouncementOutcome::Old);
}

TEST(AnnouncementRegressions, PositionUpdateRevivesExpiredServer)
{
    first.recordAnnouncement(now, makeAnnouncement(10));
    exchange();
    now += std::chrono::seconds(4);
    CHECK_EQUAL(1, second.expire(now).size());
    CHECK_EQUAL(0, second.size());
    first.recordAnnouncement(now, makeAnnouncement(20));
    CHECK(second.merge(now, *first.positionUpdate(now, id)).first == AnnouncementOutcome::Changed);
    CHECK_EQUAL(1, second.size());
    CHECK_EQUAL(first.hash(), second.hash());
}
