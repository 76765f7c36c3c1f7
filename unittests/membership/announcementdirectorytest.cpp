#include "daisyrelay/membership.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

namespace {

BackendAnnouncement announcementOf(Position position, bool leaving = false, std::uint16_t port = 5000)
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
    announcement.leaving = leaving;
    return announcement;
}

} // namespace

TEST_GROUP(AnnouncementTraps)
{
    Counters counters;
    AnnouncementDirectory first { {}, counters };
    AnnouncementDirectory second { {}, counters };
    Instant now { std::chrono::hours(1) };
    BackendId id { "g1-1" };

    void exchange()
    {
        if (const auto news = first.current(now, id); news) {
            second.merge(now, *news);
        }
        if (const auto news = second.current(now, id); news) {
            first.merge(now, *news);
        }
    }
};

TEST(AnnouncementTraps, LeavingIsNotUndoneByAnOldAnnouncement)
{
    first.recordAnnouncement(now, announcementOf(10));
    exchange();
    const BackendAnnouncement old = *first.current(now, id);
    second.recordAnnouncement(now, announcementOf(11, true));
    // The other VM has not heard of it yet and takes in more news of the living server.
    first.recordAnnouncement(now, announcementOf(12));
    first.recordAnnouncement(now, announcementOf(13));
    exchange();
    CHECK(first.current(now, id)->leaving);
    CHECK(second.current(now, id)->leaving);
    CHECK(first.merge(now, old) == AnnouncementOutcome::Old);
    CHECK(first.recordAnnouncement(now, announcementOf(12)) == AnnouncementOutcome::Refused);
    CHECK(first.current(now, id)->leaving);
    CHECK_EQUAL(1, counters.value("announcements.refused.after-leaving"));
}

TEST(AnnouncementTraps, AServerThatLeftAndCameBackIsTaken)
{
    first.recordAnnouncement(now, announcementOf(10, true));
    exchange();
    now += std::chrono::seconds(4);
    CHECK(second.recordAnnouncement(now, announcementOf(11)) == AnnouncementOutcome::Changed);
    exchange();
    CHECK(!first.current(now, id)->leaving);
    CHECK(!second.current(now, id)->leaving);
}

TEST(AnnouncementTraps, AnnouncementsInTheWrongOrderEndInTheNewest)
{
    std::vector<BackendAnnouncement> sent;
    for (Position position = 1; position <= 6; ++position) {
        first.recordAnnouncement(now, announcementOf(position));
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

TEST(AnnouncementTraps, OfTwoDatabasesWithOneIdTheKnownOneStays)
{
    first.recordAnnouncement(now, announcementOf(10));
    for (int turn = 0; turn < 8; ++turn) {
        now += std::chrono::milliseconds(250);
        CHECK(first.recordAnnouncement(now, announcementOf(900, false, 6000)) == AnnouncementOutcome::Refused);
        CHECK(first.recordAnnouncement(now, announcementOf(10)) == AnnouncementOutcome::Refreshed);
    }
    CHECK_EQUAL(5000, first.current(now, id)->port);
    CHECK_EQUAL(8, counters.value("announcements.refused.duplicate-id"));
    CHECK_EQUAL(6000, first.duplicates().at(id).port);
}

TEST(AnnouncementTraps, TwoDatabasesWithOneIdHeardByTwoVmsEndInOne)
{
    first.recordAnnouncement(now, announcementOf(10, false, 6000));
    second.recordAnnouncement(now, announcementOf(10, false, 5000));
    exchange();
    CHECK_EQUAL(5000, first.current(now, id)->port);
    CHECK_EQUAL(5000, second.current(now, id)->port);
}

TEST(AnnouncementTraps, AFlappingServerEndsInItsLastState)
{
    CHECK(rc::check([this](const std::vector<bool> &states) {
        AnnouncementDirectory left({}, counters);
        AnnouncementDirectory right({}, counters);
        Instant at = now;
        bool last = false;
        for (const bool leaving : states) {
            (at.time_since_epoch().count() / 1000 % 2 == 0 ? left : right)
                .recordAnnouncement(at, announcementOf(1, leaving));
            last = leaving;
            at += std::chrono::milliseconds(700);
        }
        // The server goes on announcing its last state.
        for (int repeat = 0; repeat < 12 && !states.empty(); ++repeat) {
            (repeat % 2 == 0 ? left : right).recordAnnouncement(at, announcementOf(1, last));
            left.merge(at, *right.current(at, id));
            right.merge(at, *left.current(at, id));
            at += std::chrono::milliseconds(400);
        }
        if (!states.empty()) {
            RC_ASSERT(left.current(at, id)->leaving == last);
            RC_ASSERT(right.current(at, id)->leaving == last);
        }
    }));
}

TEST(AnnouncementTraps, AnImpostorIsRefusedAndCounted)
{
    first.recordAnnouncement(now, announcementOf(10));
    BackendAnnouncement other = announcementOf(11);
    other.group.group = GroupId { "g2" };
    CHECK(first.recordAnnouncement(now, other) == AnnouncementOutcome::Refused);
    CHECK_EQUAL(1, counters.value("announcements.refused.group-changed"));
    BackendAnnouncement absurd = announcementOf(11);
    absurd.slots = 1000;
    CHECK(first.recordAnnouncement(now, absurd) == AnnouncementOutcome::Refused);
    absurd = announcementOf(Position { 1 } << 60U);
    CHECK(first.recordAnnouncement(now, absurd) == AnnouncementOutcome::Refused);
    CHECK(first.merge(now, absurd) == AnnouncementOutcome::Refused);
    CHECK_EQUAL(3, counters.value("announcements.refused.absurd"));
    CHECK_EQUAL(10, first.current(now, id)->point.position);
}

TEST(AnnouncementTraps, ASilentServerIsForgottenWhereverItWasHeard)
{
    first.recordAnnouncement(now, announcementOf(10));
    now += std::chrono::seconds(2);
    exchange();
    now += std::chrono::milliseconds(1100);
    CHECK_EQUAL(1, second.expire(now).size());
    CHECK_EQUAL(1, first.expire(now).size());
}

TEST(AnnouncementTraps, APositionAloneIsTakenOnlyForTheServerItNames)
{
    first.recordAnnouncement(now, announcementOf(10));
    exchange();
    first.recordAnnouncement(now, announcementOf(20));
    CHECK(second.merge(now, *first.positionUpdate(now, id)).first == AnnouncementOutcome::Refreshed);
    CHECK_EQUAL(20, second.current(now, id)->point.position);
    AnnouncementDirectory duplicate({}, counters);
    duplicate.recordAnnouncement(now, announcementOf(900, false, 6000));
    CHECK(second.merge(now, *duplicate.positionUpdate(now, id)).first == AnnouncementOutcome::Old);
}

TEST(AnnouncementTraps, APositionRevivesAServerThatWasTakenForSilent)
{
    first.recordAnnouncement(now, announcementOf(10));
    exchange();
    now += std::chrono::seconds(4);
    CHECK_EQUAL(1, second.expire(now).size());
    CHECK_EQUAL(0, second.size());
    first.recordAnnouncement(now, announcementOf(20));
    CHECK(second.merge(now, *first.positionUpdate(now, id)).first == AnnouncementOutcome::Changed);
    CHECK_EQUAL(1, second.size());
    CHECK_EQUAL(first.hash(), second.hash());
}
