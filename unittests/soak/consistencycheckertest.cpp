// Each rule of the ledger is broken on purpose, so that a run which finds nothing means something.
#include "platform/soak/consistencychecker.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(ConsistencyChecker)
{
    ConsistencyChecker checker;
    Instant now = Instant() + 1h;

    SentStatement statement(const std::string &id, Effect effect, const std::string &transaction = "") const
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
        checker.recordSend(now, "s", staleness, ownWrite, statement(id, effect));
    }

    void sendIn(const std::string &transaction, const std::string &id, Effect effect)
    {
        checker.recordSend(now, "s", 0ms, "", statement(id, effect, transaction));
    }

    StatementRun runOf(const std::string &id, std::uint64_t applied = 0) const
    {
        StatementRun run;
        run.id = id;
        run.text = "text of " + id;
        run.connection = 1;
        run.applied = applied;
        run.signature = "proof of " + id;
        run.row = "row of " + id;
        return run;
    }

    /// A write that is acknowledged at \p position.
    void write(const std::string &id, std::uint64_t position)
    {
        send(id, Effect::Write);
        checker.recordRun("s", runOf(id, position));
        checker.recordCommit("s", position, id, { id });
        checker.recordSuccess(now, id, "proof of " + id, "");
        now += 1ms;
    }

    void checkBroken(const std::string &rule) const
    {
        CHECK_EQUAL(1, checker.violations().size());
        STRCMP_CONTAINS(rule.c_str(), checker.violations().front().c_str());
    }

    void checkHeld() const
    {
        CHECK_EQUAL(0, checker.violations().size());
    }
};

TEST(ConsistencyChecker, AnOrdinaryDayBreaksNothing)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordRun("s", runOf("r", 1));
    checker.recordSuccess(now, "r", "proof of r", "row of r");
    checkHeld();
}

TEST(ConsistencyChecker, AReadThatLacksAnAcknowledgedWriteIsStale)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordRun("s", runOf("r", 0));
    checkBroken("STALE");
}

TEST(ConsistencyChecker, ABoundedReadMayLackWhatIsNewerThanItsBound)
{
    write("w", 1);
    send("r", Effect::Read, 1500ms);
    checker.recordRun("s", runOf("r", 0));
    checkHeld();
    now += 2s;
    send("later", Effect::Read, 1500ms);
    checker.recordRun("s", runOf("later", 0));
    checkBroken("STALE");
}

TEST(ConsistencyChecker, ASessionMustSeeItsOwnWrite)
{
    write("w", 1);
    send("r", Effect::Read, 2500ms, "w");
    checker.recordRun("s", runOf("r", 0));
    checkBroken("STALE");
}

TEST(ConsistencyChecker, WhatAPromotionCutOffIsNotMissed)
{
    write("w", 1);
    send("r", Effect::Read);
    checker.recordTruncation("s", 0);
    checker.recordRun("s", runOf("r", 0));
    checkHeld();
}

TEST(ConsistencyChecker, AWriteThatTakesEffectAgainIsFound)
{
    write("w", 1);
    checker.recordCommit("s", 2, "w", { "w" });
    checkBroken("TWICE");
}

TEST(ConsistencyChecker, AnAnswerThatPromisesNothingMustBeTrue)
{
    send("w", Effect::Write);
    checker.recordRun("s", runOf("w"));
    checker.recordCommit("s", 1, "w", { "w" });
    checker.recordRejection("w");
    checkBroken("REFUSED");
}

TEST(ConsistencyChecker, APromiseHoldsLaterToo)
{
    send("w", Effect::Write);
    checker.recordRejection("w");
    checker.recordCommit("s", 1, "w", { "w" });
    checkBroken("REFUSED");
}

TEST(ConsistencyChecker, StatementsOfNobodyAndChangedOnesAreFound)
{
    checker.recordRun("s", runOf("nobody"));
    checkBroken("UNASKED");
    send("r", Effect::Read);
    StatementRun changed = runOf("r");
    changed.text = "something else";
    checker.recordRun("s", changed);
    CHECK_EQUAL(2, checker.violations().size());
}

TEST(ConsistencyChecker, AnotherServiceIsFound)
{
    send("r", Effect::Read);
    checker.recordRun("other", runOf("r"));
    checkBroken("ROUTE");
}

TEST(ConsistencyChecker, AnAnswerOfAnotherStatementIsFound)
{
    send("r", Effect::Read);
    checker.recordRun("s", runOf("r"));
    checker.recordSuccess(now, "r", "proof of another", "row of r");
    checkBroken("MIXED");
}

TEST(ConsistencyChecker, OtherRowsAreFound)
{
    send("r", Effect::Read);
    checker.recordRun("s", runOf("r"));
    checker.recordSuccess(now, "r", "proof of r", "row of another");
    checkBroken("MIXED");
}

TEST(ConsistencyChecker, OtherSessionValuesAreFound)
{
    send("r", Effect::Read);
    StatementRun run = runOf("r");
    run.values["n"] = "v";
    checker.recordRun("s", run);
    checkBroken("PINNED");
}

TEST(ConsistencyChecker, AnotherShapeOfAPreparedStatementIsFound)
{
    send("r", Effect::Read);
    StatementRun run = runOf("r");
    run.preparedShape = "FETCH q1";
    checker.recordRun("s", run);
    checkBroken("PINNED");
}

TEST(ConsistencyChecker, AStatementOutsideItsTransactionIsFound)
{
    sendIn("t", "r", Effect::Read);
    checker.recordRun("s", runOf("r"));
    checkBroken("PINNED");
}

TEST(ConsistencyChecker, AStatementInTheTransactionOfAnotherIsFound)
{
    sendIn("t", "r", Effect::Read);
    StatementRun run = runOf("r");
    run.inTransaction = true;
    run.transactionOwner = "other";
    checker.recordRun("s", run);
    checkBroken("PINNED");
}

TEST(ConsistencyChecker, ATransactionThatChangesItsConnectionIsFound)
{
    sendIn("t", "first", Effect::Read);
    sendIn("t", "second", Effect::Read);
    StatementRun first = runOf("first");
    first.inTransaction = true;
    checker.recordRun("s", first);
    StatementRun second = runOf("second");
    second.inTransaction = true;
    second.transactionOwner = "t";
    second.connection = 2;
    checker.recordRun("s", second);
    checkBroken("PINNED");
}
