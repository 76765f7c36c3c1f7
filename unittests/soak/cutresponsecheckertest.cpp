// The rule on responses that are cut by planned work: each violation, and each cut that is allowed.
#include "platform/soak/cutresponsechecker.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(CutResponseChecker)
{
    static constexpr Duration Timeout = 2s;

    CutResponseChecker checker;
    const Instant start = Instant() + 1h;
    const Instant stop = start + 10s; ///< SIGTERM of entry 0.

    void setup() override
    {
        checker.recordStart(start, 0);
        checker.recordStart(start, 1);
        checker.recordStop(stop, 0);
    }

    /// Sends the statement "q" at \p sent after SIGTERM to \p entry.
    void send(Duration sent, std::size_t entry = 0)
    {
        checker.recordSend(stop + sent, "q", entry, "s", Timeout);
    }

    void check(CutVerdict expected, Duration cut)
    {
        const CutVerdict verdict = checker.recordCut(stop + cut, "q");
        STRCMP_EQUAL(cutVerdictName(expected).data(), cutVerdictName(verdict).data());
        CHECK_EQUAL(1, checker.count(expected));
        CHECK_EQUAL(expected == CutVerdict::Violation ? 1 : 0, checker.violations().size());
    }
};

// A drain that ends by the clock cuts a statement on which a server is at work.
TEST(CutResponseChecker, CutWhileServerIsAtWorkIsViolation)
{
    send(5s);
    checker.recordServerStart(stop + 5100ms, "q");
    check(CutVerdict::Violation, 5550ms);
    STRCMP_CONTAINS("LOST q: entry-0 ended the connection 550 ms after", checker.violations().front().c_str());
    STRCMP_CONTAINS("received it after 100 ms and is at work", checker.violations().front().c_str());
}

// A response that has arrived at the entry is lost in an output buffer, however soon after the statement.
TEST(CutResponseChecker, CutAfterServerRespondedIsViolation)
{
    send(5500ms);
    checker.recordServerStart(stop + 5510ms, "q");
    checker.recordServerEnd(stop + 5520ms, "q");
    check(CutVerdict::Violation, 5530ms);
    STRCMP_CONTAINS("responded after 20 ms", checker.violations().front().c_str());
}

// A statement that was read and never processed reaches no server, so only its age shows the violation.
TEST(CutResponseChecker, UnprocessedStatementIsViolationWhenOldEnough)
{
    send(1s);
    check(CutVerdict::Violation, 1201ms);
    STRCMP_CONTAINS("no server received it", checker.violations().front().c_str());
}

// The entry may not have read a statement that crosses the end of its session.
TEST(CutResponseChecker, StatementSentAsSessionIsClosedIsAllowed)
{
    send(1s);
    check(CutVerdict::JustSent, 1200ms);
}

// The platform ends a process that outlives its grace period; that cut belongs to the stop.
TEST(CutResponseChecker, CutAtEndOfGracePeriodBelongsToStop)
{
    send(5900ms);
    checker.recordServerStart(stop + 5910ms, "q");
    check(CutVerdict::Violation, 7s);
}

// Without this limit the rule would blame a stop that is long over.
TEST(CutResponseChecker, CutAfterWindowOfStopIsNotJudged)
{
    send(6500ms);
    checker.recordServerStart(stop + 6510ms, "q");
    check(CutVerdict::NoPlannedWork, 7001ms);
}

// A stop of another entry is no reason for the cut.
TEST(CutResponseChecker, StopOfAnotherEntryIsNotJudged)
{
    send(1s, 1);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::NoPlannedWork, 1500ms);
    CHECK_EQUAL(1, checker.unexplained().size());
}

// The process that runs after a stop must not inherit it.
TEST(CutResponseChecker, StopAppliesToOneProcess)
{
    checker.recordStart(stop + 2s, 0);
    send(3s);
    checker.recordServerStart(stop + 3s, "q");
    check(CutVerdict::NoPlannedWork, 3500ms);
}

// A cut that the caller detects after the next process has started belongs to the process that took the statement.
TEST(CutResponseChecker, CutDetectedAfterRestartBelongsToFormerProcess)
{
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    checker.recordStart(stop + 1500ms, 0);
    check(CutVerdict::Violation, 1600ms);
}

// A second SIGTERM must not extend the time in which a statement counts as early.
TEST(CutResponseChecker, SecondSignalDoesNotRestartGracePeriod)
{
    checker.recordStop(stop + 2s, 0);
    send(3500ms);
    checker.recordServerStart(stop + 3500ms, "q");
    check(CutVerdict::Violation, 5100ms);
}

// A process that cannot know how long a server works may give up an early statement at the end of its grace period.
TEST(CutResponseChecker, EarlyStatementWithServerAtWorkInLastSixthIsAllowed)
{
    checker.recordSend(stop + 3s, "q", 0, "s", 5s);
    checker.recordServerStart(stop + 3100ms, "q");
    check(CutVerdict::ServerAtWork, 5s);
}

// The server may have ended in the last sixth with the response on its way.
TEST(CutResponseChecker, EarlyStatementThatServerEndedInLastSixthIsAllowed)
{
    checker.recordSend(stop + 3s, "q", 0, "s", 5s);
    checker.recordServerStart(stop + 3100ms, "q");
    checker.recordServerEnd(stop + 5s, "q");
    check(CutVerdict::ServerAtWork, 5500ms);
}

// Each limit of the exception for servers at work, just missed.
TEST(CutResponseChecker, ServerAtWorkExcusesNeitherLateStatementNorEarlyCut)
{
    checker.recordSend(stop + 3001ms, "q", 0, "s", 5s);
    checker.recordServerStart(stop + 3100ms, "q");
    CHECK(checker.recordCut(stop + 5500ms, "q") == CutVerdict::Violation);
    checker.recordSend(stop + 2s, "q", 0, "s", 5s);
    checker.recordServerStart(stop + 2100ms, "q");
    CHECK(checker.recordCut(stop + 4999ms, "q") == CutVerdict::Violation);
    checker.recordSend(stop + 2s, "q", 0, "s", 5s);
    checker.recordServerStart(stop + 2100ms, "q");
    checker.recordServerEnd(stop + 4999ms, "q");
    CHECK(checker.recordCut(stop + 5500ms, "q") == CutVerdict::Violation);
}

// A statement that waits in the entry for a server is not one on which a server is at work.
TEST(CutResponseChecker, EarlyStatementThatNoServerReceivedIsViolation)
{
    checker.recordSend(stop + 2s, "q", 0, "s", 5s);
    check(CutVerdict::Violation, 5500ms);
}

// A server that ends the connection leaves no response to pass on.
TEST(CutResponseChecker, ServerThatBrokeOffIsAllowed)
{
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    checker.recordServerBreak("q");
    check(CutVerdict::ServerBrokeOff, 1500ms);
}

// The timeout of the caller or the route ends the promise, but not a moment sooner.
TEST(CutResponseChecker, CutAfterTimeoutIsAllowed)
{
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::TimedOut, 1s + Timeout);
}

TEST(CutResponseChecker, CutJustBeforeTimeoutIsViolation)
{
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::Violation, 1s + Timeout - 1ms);
}

// An unplanned fault on the path explains the cut until the system has been stable for a while.
TEST(CutResponseChecker, FaultInStabilityWindowIsAllowed)
{
    checker.recordFault(stop - 4s, stop - 3s, "s");
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::Fault, 1500ms);
}

// A fault at any time before or elsewhere would otherwise hide every violation of a run.
TEST(CutResponseChecker, OlderFaultAndFaultElsewhereExcuseNothing)
{
    checker.recordFault(stop - 4s, stop - 3001ms, "");
    checker.recordFault(stop, stop + 2s, "other");
    checker.recordFault(stop + 1501ms, stop + 2s, "");
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::Violation, 1500ms);
}

// A fault that begins while the statement is pending counts, too.
TEST(CutResponseChecker, FaultWhileStatementIsPendingIsAllowed)
{
    checker.recordFault(stop + 1200ms, stop + 1300ms, "");
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::Fault, 1500ms);
}

// Entries give up callers that read nothing for a second, which is what they see while the soak does not run.
TEST(CutResponseChecker, HoldUpOfSoakExcusesStatementsThatWerePending)
{
    checker.recordHoldUp(stop, stop + 1s);
    send(900ms);
    checker.recordServerStart(stop + 1s, "q");
    check(CutVerdict::Fault, 1500ms);
}

TEST(CutResponseChecker, HoldUpOfSoakExcusesNoLaterStatement)
{
    checker.recordHoldUp(stop, stop + 1s);
    send(1001ms);
    checker.recordServerStart(stop + 1100ms, "q");
    check(CutVerdict::Violation, 1500ms);
}

// A reload must not cut responses either; it counts for statements sent until it is over.
TEST(CutResponseChecker, CutBesideReloadIsViolation)
{
    checker.recordReload(stop, 1);
    send(3s, 1);
    checker.recordServerStart(stop + 3s, "q");
    check(CutVerdict::Violation, 3500ms);
}

TEST(CutResponseChecker, CutBeforeOrLongAfterReloadIsNotJudged)
{
    checker.recordReload(stop, 1);
    send(3001ms, 1);
    checker.recordServerStart(stop + 3100ms, "q");
    CHECK(checker.recordCut(stop + 3500ms, "q") == CutVerdict::NoPlannedWork);
    send(-500ms, 1);
    checker.recordServerStart(stop - 400ms, "q");
    CHECK(checker.recordCut(stop - 1ms, "q") == CutVerdict::NoPlannedWork);
}

// A statement with a response must not be judged when its connection ends later.
TEST(CutResponseChecker, AnsweredStatementIsNotJudged)
{
    send(1s);
    checker.recordServerStart(stop + 1s, "q");
    checker.recordEnd("q");
    CHECK(checker.recordCut(stop + 1500ms, "q") == CutVerdict::NoPlannedWork);
    CHECK(checker.violations().empty());
}
