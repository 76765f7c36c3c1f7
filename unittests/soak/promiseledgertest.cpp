// Each rule of the ledger is broken on purpose, so that a run which finds nothing means something.
#include "platform/soak/promiseledger.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(PromiseLedger)
{
    PromiseLedger ledger;
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
        ledger.send(now, "s", staleness, ownWrite, statement(id, effect));
    }

    void sendIn(const std::string &transaction, const std::string &id, Effect effect)
    {
        ledger.send(now, "s", 0ms, "", statement(id, effect, transaction));
    }

    StatementRun runOf(const std::string &id, std::uint64_t applied = 0) const
    {
        StatementRun run;
        run.id = id;
        run.text = "text of " + id;
        run.connection = 1;
        run.applied = applied;
        run.proof = "proof of " + id;
        run.row = "row of " + id;
        return run;
    }

    /// A write that is acknowledged at \p position.
    void write(const std::string &id, std::uint64_t position)
    {
        send(id, Effect::Write);
        ledger.ran("s", runOf(id, position));
        ledger.committed("s", position, id, { id });
        ledger.succeeded(now, id, "proof of " + id, "");
        now += 1ms;
    }

    void checkBroken(const std::string &rule) const
    {
        CHECK_EQUAL(1, ledger.violations().size());
        STRCMP_CONTAINS(rule.c_str(), ledger.violations().front().c_str());
    }

    void checkHeld() const
    {
        CHECK_EQUAL(0, ledger.violations().size());
    }
};

TEST(PromiseLedger, AnOrdinaryDayBreaksNothing)
{
    write("w", 1);
    send("r", Effect::Read);
    ledger.ran("s", runOf("r", 1));
    ledger.succeeded(now, "r", "proof of r", "row of r");
    checkHeld();
}

TEST(PromiseLedger, AReadThatLacksAnAcknowledgedWriteIsStale)
{
    write("w", 1);
    send("r", Effect::Read);
    ledger.ran("s", runOf("r", 0));
    checkBroken("STALE");
}

TEST(PromiseLedger, ABoundedReadMayLackWhatIsNewerThanItsBound)
{
    write("w", 1);
    send("r", Effect::Read, 1500ms);
    ledger.ran("s", runOf("r", 0));
    checkHeld();
    now += 2s;
    send("later", Effect::Read, 1500ms);
    ledger.ran("s", runOf("later", 0));
    checkBroken("STALE");
}

TEST(PromiseLedger, ASessionMustSeeItsOwnWrite)
{
    write("w", 1);
    send("r", Effect::Read, 2500ms, "w");
    ledger.ran("s", runOf("r", 0));
    checkBroken("STALE");
}

TEST(PromiseLedger, WhatAPromotionCutOffIsNotMissed)
{
    write("w", 1);
    send("r", Effect::Read);
    ledger.rolledBack("s", 0);
    ledger.ran("s", runOf("r", 0));
    checkHeld();
}

TEST(PromiseLedger, AWriteThatTakesEffectAgainIsFound)
{
    write("w", 1);
    ledger.committed("s", 2, "w", { "w" });
    checkBroken("TWICE");
}

TEST(PromiseLedger, AnAnswerThatPromisesNothingMustBeTrue)
{
    send("w", Effect::Write);
    ledger.ran("s", runOf("w"));
    ledger.committed("s", 1, "w", { "w" });
    ledger.promisedNothing("w");
    checkBroken("REFUSED");
}

TEST(PromiseLedger, APromiseHoldsLaterToo)
{
    send("w", Effect::Write);
    ledger.promisedNothing("w");
    ledger.committed("s", 1, "w", { "w" });
    checkBroken("REFUSED");
}

TEST(PromiseLedger, StatementsOfNobodyAndChangedOnesAreFound)
{
    ledger.ran("s", runOf("nobody"));
    checkBroken("UNASKED");
    send("r", Effect::Read);
    StatementRun changed = runOf("r");
    changed.text = "something else";
    ledger.ran("s", changed);
    CHECK_EQUAL(2, ledger.violations().size());
}

TEST(PromiseLedger, AnotherServiceIsFound)
{
    send("r", Effect::Read);
    ledger.ran("other", runOf("r"));
    checkBroken("ROUTE");
}

TEST(PromiseLedger, AnAnswerOfAnotherStatementIsFound)
{
    send("r", Effect::Read);
    ledger.ran("s", runOf("r"));
    ledger.succeeded(now, "r", "proof of another", "row of r");
    checkBroken("MIXED");
}

TEST(PromiseLedger, OtherRowsAreFound)
{
    send("r", Effect::Read);
    ledger.ran("s", runOf("r"));
    ledger.succeeded(now, "r", "proof of r", "row of another");
    checkBroken("MIXED");
}

TEST(PromiseLedger, OtherSessionValuesAreFound)
{
    send("r", Effect::Read);
    StatementRun run = runOf("r");
    run.values["n"] = "v";
    ledger.ran("s", run);
    checkBroken("PINNED");
}

TEST(PromiseLedger, AnotherShapeOfAPreparedStatementIsFound)
{
    send("r", Effect::Read);
    StatementRun run = runOf("r");
    run.preparedShape = "FETCH q1";
    ledger.ran("s", run);
    checkBroken("PINNED");
}

TEST(PromiseLedger, AStatementOutsideItsTransactionIsFound)
{
    sendIn("t", "r", Effect::Read);
    ledger.ran("s", runOf("r"));
    checkBroken("PINNED");
}

TEST(PromiseLedger, AStatementInTheTransactionOfAnotherIsFound)
{
    sendIn("t", "r", Effect::Read);
    StatementRun run = runOf("r");
    run.inTransaction = true;
    run.transactionOwner = "other";
    ledger.ran("s", run);
    checkBroken("PINNED");
}

TEST(PromiseLedger, ATransactionThatChangesItsConnectionIsFound)
{
    sendIn("t", "first", Effect::Read);
    sendIn("t", "second", Effect::Read);
    StatementRun first = runOf("first");
    first.inTransaction = true;
    ledger.ran("s", first);
    StatementRun second = runOf("second");
    second.inTransaction = true;
    second.transactionOwner = "t";
    second.connection = 2;
    ledger.ran("s", second);
    checkBroken("PINNED");
}
