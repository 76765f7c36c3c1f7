// Violates each rule deliberately, to verify that the checker detects every kind of violation.
#include "platform/soak/consistencychecker.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(ConsistencyChecker)
{
    ConsistencyChecker checker;
    Instant now = Instant() + 1h;

    SentStatement makeStatement(const std::string &id, Effect effect, const std::string &transaction = "") const
    {
        SentStatement sent;
        sent.id = id;
        sent.text = "text of " + id;
        sent.caller = "c";
        sent.effect = effect;
        sent.transaction = transaction;
        return sent;
    }

    void send(const std::string &id, Effect effect, Duration staleness = 0ms, const std::string &ownWrite = "")
    {
        checker.recordSend(now, "s", staleness, ownWrite, makeStatement(id, effect));
    }

    void sendInTransaction(const std::string &transaction, const std::string &id, Effect effect)
    {
        checker.recordSend(now, "s", 0ms, "", makeStatement(id, effect, transaction));
    }

    StatementRun makeRun(const std::string &id, std::uint64_t applied = 0) const
    {
        StatementRun run;
        run.id = id;
        run.text = "text of " + id;
        run.connection = 1;
        run.applied = applied;
        run.signature = "signature of " + id;
        run.row = "row of " + id;
        return run;
    }

    /// Runs a write that is committed at \p position and acknowledged.
    void write(const std::string &id, std::uint64_t position)
    {
        send(id, Effect::Write);
        checker.recordRun("s", makeRun(id, position));
        checker.recordCommit("s", position, id, { id });
        checker.recordSuccess(now, id, "signature of " + id, "");
        now += 1ms;
    }

    void checkViolation(const std::string &rule) const
    {
        CHECK_EQUAL(1, checker.violations().size());
        STRCMP_CONTAINS(rule.c_str(), checker.violations().front().c_str());
    }

    void checkNoViolation() const
    {
        CHECK_EQUAL(0, checker.violations().size());
    }
};

TEST(ConsistencyChecker, CorrectRunHasNoViolations)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordRun("s", makeRun("r", 1));
    checker.recordSuccess(now, "r", "signature of r", "row of r");
    checkNoViolation();
}

TEST(ConsistencyChecker, ReadMissingAcknowledgedWriteIsStale)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordRun("s", makeRun("r", 0));
    checkViolation("STALE");
}

TEST(ConsistencyChecker, BoundedReadMayMissWritesNewerThanBound)
{
    write("w", 1);
    send("r", Effect::Read, 1500ms);
    checker.recordRun("s", makeRun("r", 0));
    checkNoViolation();
    now += 2s;
    send("later", Effect::Read, 1500ms);
    checker.recordRun("s", makeRun("later", 0));
    checkViolation("STALE");
}

TEST(ConsistencyChecker, ReadMissingOwnWriteIsStale)
{
    write("w", 1);
    send("r", Effect::Read, 2500ms, "w");
    checker.recordRun("s", makeRun("r", 0));
    checkViolation("STALE");
}

TEST(ConsistencyChecker, ReadMayMissWriteDiscardedByPromotion)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordTruncation("s", 0);
    checker.recordRun("s", makeRun("r", 0));
    checkNoViolation();
}

TEST(ConsistencyChecker, DetectsAcknowledgedCommitThatAPromotionDiscards)
{
    write("w", 1);
    checker.recordTruncation("s", 0, true);
    checkViolation("LOST");
}

TEST(ConsistencyChecker, DetectsCommitThatIsAcknowledgedAfterAPromotionHasDiscardedIt)
{
    send("w", Effect::Write);
    checker.recordRun("s", makeRun("w", 1));
    checker.recordCommit("s", 1, "w", { "w" });
    checker.recordTruncation("s", 0, true);
    checker.recordSuccess(now, "w", "signature of w", "");
    checkViolation("LOST");
}

TEST(ConsistencyChecker, DetectsWriteThatTakesEffectTwice)
{
    write("w", 1);
    checker.recordCommit("s", 2, "w", { "w" });
    checkViolation("TWICE");
}

TEST(ConsistencyChecker, DetectsRejectionOfCommittedWrite)
{
    send("w", Effect::Write);
    checker.recordRun("s", makeRun("w"));
    checker.recordCommit("s", 1, "w", { "w" });
    checker.recordRejection("w");
    checkViolation("REFUSED");
}

TEST(ConsistencyChecker, DetectsCommitAfterRejection)
{
    send("w", Effect::Write);
    checker.recordRejection("w");
    checker.recordCommit("s", 1, "w", { "w" });
    checkViolation("REFUSED");
}

TEST(ConsistencyChecker, DetectsUnknownAndChangedStatements)
{
    checker.recordRun("s", makeRun("nobody"));
    checkViolation("UNASKED");
    send("r", Effect::Read);
    StatementRun changed = makeRun("r");
    changed.text = "something else";
    checker.recordRun("s", changed);
    CHECK_EQUAL(2, checker.violations().size());
}

TEST(ConsistencyChecker, DetectsRunAtWrongService)
{
    send("r", Effect::Read);
    checker.recordRun("other", makeRun("r"));
    checkViolation("ROUTE");
}

TEST(ConsistencyChecker, DetectsResponseOfAnotherStatement)
{
    send("r", Effect::Read);
    checker.recordRun("s", makeRun("r"));
    checker.recordSuccess(now, "r", "signature of another", "row of r");
    checkViolation("MIXED");
}

// A read without a response in time is sent to a second server. The first attempt may run last.
TEST(ConsistencyChecker, ReadThatRanTwiceMayReturnEitherRun)
{
    send("r", Effect::Read);
    StatementRun second = makeRun("r");
    second.signature = "other signature of r";
    second.row = "other row of r";
    checker.recordRun("s", makeRun("r"));
    checker.recordRun("s", second);
    checker.recordSuccess(now, "r", "signature of r", "row of r");
    checkNoViolation();
}

TEST(ConsistencyChecker, DetectsRowOfAnotherRun)
{
    send("r", Effect::Read);
    StatementRun second = makeRun("r");
    second.signature = "other signature of r";
    second.row = "other row of r";
    checker.recordRun("s", makeRun("r"));
    checker.recordRun("s", second);
    checker.recordSuccess(now, "r", "signature of r", "other row of r");
    checkViolation("MIXED");
}

// Only the last run of a write counts: an earlier one was rolled back.
TEST(ConsistencyChecker, DetectsSignatureOfAnEarlierRunOfAWrite)
{
    send("w", Effect::Write);
    StatementRun second = makeRun("w");
    second.signature = "other signature of w";
    checker.recordRun("s", makeRun("w"));
    checker.recordRun("s", second);
    checker.recordSuccess(now, "w", "signature of w", "");
    checkViolation("MIXED");
}

TEST(ConsistencyChecker, DetectsWrongRow)
{
    send("r", Effect::Read);
    checker.recordRun("s", makeRun("r"));
    checker.recordSuccess(now, "r", "signature of r", "row of another");
    checkViolation("MIXED");
}

TEST(ConsistencyChecker, DetectsWrongSessionValues)
{
    send("r", Effect::Read);
    StatementRun run = makeRun("r");
    run.values["n"] = "v";
    checker.recordRun("s", run);
    checkViolation("PINNED");
}

TEST(ConsistencyChecker, DetectsWrongPreparedShape)
{
    send("r", Effect::Read);
    StatementRun run = makeRun("r");
    run.preparedShape = "FETCH q1";
    checker.recordRun("s", run);
    checkViolation("PINNED");
}

TEST(ConsistencyChecker, DetectsStatementOutsideItsTransaction)
{
    sendInTransaction("t", "r", Effect::Read);
    checker.recordRun("s", makeRun("r"));
    checkViolation("PINNED");
}

TEST(ConsistencyChecker, DetectsStatementInAnotherTransaction)
{
    sendInTransaction("t", "r", Effect::Read);
    StatementRun run = makeRun("r");
    run.inTransaction = true;
    run.transactionOwner = "other";
    checker.recordRun("s", run);
    checkViolation("PINNED");
}

// The first attempt of a transaction's first statement may run after its retry at another server, and must not count as
// a change of the connection. Found by soak seed 603 with rolls.
TEST(ConsistencyChecker, FirstAttemptOfTransactionMayRunAfterItsRetry)
{
    sendInTransaction("t", "first", Effect::Read);
    sendInTransaction("t", "second", Effect::Read);
    StatementRun run = makeRun("first");
    run.inTransaction = true;
    run.connection = 2;
    checker.recordRun("s", run);
    run.connection = 1;
    checker.recordRun("s", run);
    run = makeRun("second");
    run.inTransaction = true;
    run.transactionOwner = "t";
    run.connection = 2;
    checker.recordRun("s", run);
    checkNoViolation();
}

// A later statement on a connection that has begun nothing for its caller runs in another transaction.
TEST(ConsistencyChecker, DetectsLaterStatementOnFreshConnection)
{
    sendInTransaction("t", "first", Effect::Read);
    sendInTransaction("t", "second", Effect::Read);
    StatementRun run = makeRun("first");
    run.inTransaction = true;
    checker.recordRun("s", run);
    run = makeRun("second");
    run.inTransaction = true;
    run.connection = 2;
    checker.recordRun("s", run);
    checkViolation("PINNED");
}

TEST(ConsistencyChecker, DetectsTransactionThatChangesConnection)
{
    sendInTransaction("t", "first", Effect::Read);
    sendInTransaction("t", "second", Effect::Read);
    StatementRun first = makeRun("first");
    first.inTransaction = true;
    checker.recordRun("s", first);
    StatementRun second = makeRun("second");
    second.inTransaction = true;
    second.transactionOwner = "t";
    second.connection = 2;
    checker.recordRun("s", second);
    checkViolation("PINNED");
}

// A stale read can only be traced if its violation names the server, the entry and how stale the read was.
TEST(ConsistencyChecker, StaleReadNamesServerEntryAndAge)
{
    write("w", 1);
    now += 2s;
    SentStatement sent = makeStatement("r", Effect::Read);
    sent.entry = 3;
    checker.recordSend(now, "s", 1500ms, "", sent);
    StatementRun run = makeRun("r", 0);
    run.signature = "s-1.7";
    checker.recordRun("s", run);
    checkViolation("STALE");
    const std::string &violation = checker.violations().front();
    CHECK(violation.find("server s-1, entry 3, ") != std::string::npos);
    CHECK(violation.find("acknowledged 2.001") != std::string::npos);
}
