#include "poolmodel.h"

using namespace daisyrelay;

PoolModel::PoolModel(std::uint64_t seed, PoolOptions options)
    : pool_([this]() { return ++lastConnection_; }, std::move(options)), random_(seed)
{
}

const std::string &PoolModel::violation() const
{
    return violation_;
}

std::size_t PoolModel::pendingCount() const
{
    return waiting_.size();
}

void PoolModel::expect(bool condition, const std::string &message)
{
    if (!condition && violation_.empty()) {
        violation_ = message;
    }
}

PoolWork PoolModel::randomWork()
{
    static constexpr int MaxDeadlineMs = 400;
    PoolWork work;
    work.id = ++lastWork_;
    work.classId = ClassId { random_() % 2 == 0 ? "lookups" : "reservations" };
    work.target = std::chrono::milliseconds(work.classId.value == "lookups" ? 20 : 50);
    work.deadline = now_ + std::chrono::milliseconds(1 + random_() % MaxDeadlineMs);
    work.opensTransaction = random_() % 4 == 0;
    if (!reserved_.empty() && random_() % 2 == 0) {
        work.transactionConnection = *reserved_.begin();
        work.opensTransaction = false;
    }
    return work;
}

void PoolModel::checkStarted(const StartWork &start)
{
    const auto found = waiting_.find(start.work);
    expect(found != waiting_.end(), "work was started that was not queued");
    if (found == waiting_.end()) {
        return;
    }
    const PoolWork &work = found->second;
    expect(work.deadline > now_, "work was started after its deadline");
    expect(open_.contains(start.connection), "work was started on a connection that is not open");
    expect(!busy_.contains(start.connection), "two statements share a connection");
    expect(reserved_.contains(start.connection) == (work.transactionConnection != 0),
        "the connection of a transaction was used by other work");
    expect(work.transactionConnection == 0 || work.transactionConnection == start.connection,
        "a transaction ran on another connection");
    reserved_.erase(start.connection);
    busy_[start.connection] = { start.work, work.opensTransaction || work.transactionConnection != 0 };
    expect(busy_.size() <= slots_, "more statements run than there are slots");
    waiting_.erase(found);
}

void PoolModel::applyActions()
{
    for (std::vector<PoolAction> actions = pool_.takeActions(); !actions.empty(); actions = pool_.takeActions()) {
        for (const PoolAction &action : actions) {
            if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
                opening_.insert(open->connection);
                expect(opening_.size() + open_.size() <= limit_, "more connections are open than the limit");
            } else if (const auto *close = std::get_if<CloseConnection>(&action); close != nullptr) {
                opening_.erase(close->connection);
                open_.erase(close->connection);
                expect(!busy_.contains(close->connection), "a connection was closed while a statement was running");
                expect(!reserved_.contains(close->connection), "a connection was closed while a transaction was open");
            } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
                checkStarted(*start);
            } else if (const auto *reject = std::get_if<RejectWork>(&action); reject != nullptr) {
                expect(waiting_.erase(reject->work) == 1, "work was refused twice or after it was started");
                expect(errorResponseFor(reject->error.kind).executed == Executed::No,
                    "a refusal does not guarantee that the work did not run");
            } else if (const auto *silent = std::get_if<SilentConnection>(&action); silent != nullptr) {
                const auto found = busy_.find(silent->connection);
                expect(found != busy_.end() && found->second.work == silent->work,
                    "a connection without running work was reported as silent");
                busy_.erase(silent->connection);
                pool_.finish(now_, silent->connection, ConnectionOutcome::Failed);
            }
        }
    }
    expect(pool_.openConnectionCount() == opening_.size() + open_.size(), "the pool's number of connections is wrong");
    expect(pool_.runningCount() == busy_.size(), "the pool's number of running statements is wrong");
    expect(pool_.queuedCount() == waiting_.size(), "the pool's number of queued statements is wrong");
}

void PoolModel::endRandomStatement()
{
    if (busy_.empty()) {
        return;
    }
    const auto selected = std::next(busy_.begin(), static_cast<std::ptrdiff_t>(random_() % busy_.size()));
    const auto [connection, released] = *selected;
    busy_.erase(selected);
    const std::uint64_t outcome = random_() % 10;
    if (outcome == 0) {
        open_.erase(connection);
        pool_.onConnectionClosed(now_, connection);
    } else if (outcome <= 2) {
        pool_.finish(now_, connection, outcome == 1 ? ConnectionOutcome::Abandoned : ConnectionOutcome::Failed);
    } else if (released.isInTransaction && outcome <= 7) {
        reserved_.insert(connection);
        pool_.reserveForTransaction(now_, connection);
    } else {
        pool_.finish(now_, connection, ConnectionOutcome::Reusable);
    }
}

void PoolModel::step()
{
    switch (random_() % 10) {
    case 0:
        limit_ = random_() % 6;
        slots_ = std::min<std::size_t>(limit_, random_() % 4);
        pool_.setLimits(now_, limit_, slots_, random_() % 2);
        break;
    case 1:
        now_ += std::chrono::milliseconds(random_() % 60);
        pool_.tick(now_);
        break;
    case 2:
    case 3:
        if (!opening_.empty()) {
            const ConnectionId connection = *opening_.begin();
            opening_.erase(opening_.begin());
            if (random_() % 4 == 0) {
                pool_.onConnectionClosed(now_, connection);
            } else {
                open_.insert(connection);
                pool_.onConnectionOpened(now_, connection);
            }
        }
        break;
    case 4:
        if (!reserved_.empty()) {
            const ConnectionId connection = *reserved_.begin();
            reserved_.erase(reserved_.begin());
            pool_.finish(
                now_, connection, random_() % 2 == 0 ? ConnectionOutcome::Reusable : ConnectionOutcome::Abandoned);
        }
        break;
    case 5:
        pool_.setTarget(now_, ClassId { "lookups" }, std::chrono::milliseconds(1 + random_() % 40));
        break;
    case 6:
    case 7:
        endRandomStatement();
        break;
    default: {
        const PoolWork work = randomWork();
        waiting_[work.id] = work;
        pool_.submit(now_, work);
        break;
    }
    }
    applyActions();
}

void PoolModel::runUntilIdle(int maxTicks)
{
    for (int round = 0; round < maxTicks && !waiting_.empty(); ++round) {
        now_ += std::chrono::milliseconds(10);
        pool_.tick(now_);
        applyActions();
    }
}
