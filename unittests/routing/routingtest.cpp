#include "daisyrelay/routing.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace daisyrelay;

TEST_GROUP(PrimaryHistory) {};

TEST(PrimaryHistory, PositionCoversEverythingBeforeRequestedTime)
{
    const bool passed
        = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &increments, std::uint16_t maxAgeMs) {
              // The exact log of the primary over time; the history keeps only samples.
              std::map<Instant, Position> log;
              PrimaryHistory history;
              Instant now { std::chrono::seconds(100) };
              Position position = 1;
              for (const auto &[delay, increment] : increments) {
                  now += std::chrono::milliseconds(1 + delay);
                  position += increment % 3;
                  log[now] = position;
                  history.record(now, 1, position);
              }
              const Instant oldest = now - std::chrono::milliseconds(maxAgeMs);
              const std::optional<Position> found = history.positionCovering(oldest, 1);
              const auto after = log.upper_bound(oldest);
              const Position minPosition = after == log.begin() ? 0 : std::prev(after)->second;
              RC_ASSERT((!found || *found >= minPosition));
              const bool isTooOld = log.empty() || std::prev(log.end())->first < oldest + std::chrono::milliseconds(25);
              RC_ASSERT((found || isTooOld));
          });
    CHECK(passed);
}

TEST(PrimaryHistory, NewTermDiscardsSamplesOfPreviousTerm)
{
    PrimaryHistory history;
    const Instant now { std::chrono::seconds(100) };
    history.record(now, 1, 50);
    history.record(now + std::chrono::seconds(1), 2, 40);
    CHECK_FALSE(history.positionCovering(now, 1).has_value());
    CHECK_EQUAL(40, history.positionCovering(now, 2).value());
}

TEST_GROUP(ReadLoad)
{
    ReadLoad load { []() { return std::uint64_t { 0 }; } };
    BackendId backend { "db1" };
    Instant now { std::chrono::seconds(100) };
};

TEST(ReadLoad, EjectedDatabaseIsProbedByOneRequestAtATime)
{
    load.recordFailure(now, backend);
    CHECK_FALSE(load.canAccept(now, backend));
    now += std::chrono::seconds(3);
    CHECK(load.canAccept(now, backend));
    load.recordStart(backend);
    CHECK_FALSE(load.canAccept(now, backend));
    load.recordSuccess(backend, std::chrono::milliseconds(1));
    CHECK(load.canAccept(now, backend));
}

TEST_GROUP(CheckMinPoint)
{
    GroupTerm term { { ServiceId { "s" }, GroupId { "g" } }, 3, BackendId { "db1" }, 100, { { 2, 50 }, { 3, 100 } },
        {} };
};

TEST(CheckMinPoint, PositionBeyondEndOfTermIsLostWrite)
{
    CHECK(checkMinPoint({ 2, 100 }, term).error().kind == ErrorKind::LostWrite);
    CHECK(checkMinPoint({ 2, 99 }, term).has_value());
    CHECK(checkMinPoint({ 1, 60 }, term).error().kind == ErrorKind::LostWrite); // Lost by the previous failover.
    CHECK(checkMinPoint({ 1, 49 }, term).has_value());
    CHECK(checkMinPoint({ 3, 150 }, term).has_value());
}

TEST(CheckMinPoint, TermNewerThanKnownReportsNoPrimary)
{
    CHECK(checkMinPoint({ 4, 1 }, term).error().kind == ErrorKind::NoPrimary);
}
