#include "poolmodel.h"

using namespace daisyrelay;

PoolModel::PoolModel(std::uint64_t seed, PoolOptions options)
    : pool_([this]() { return ++last_; }, std::move(options)), random_(seed)
{
}

const std::string &PoolModel::fault() const
{
    return fault_;
}

std::size_t PoolModel::openWork() const
{
    return waiting_.size();
}

void PoolModel::require(bool condition, const std::string &what)
{
    if (!condition && fault_.empty()) {
        fault_ = what;
    }
}

PoolWork PoolModel::randomWork()
{
    static constexpr int LongestDeadlineMs = 400;
    PoolWork work;
    work.id = ++lastWork_;
    work.classId = ClassId { random_() % 2 == 0 ? "lookups" : "reservations" };
    work.target = std::chrono::milliseconds(work.classId.value == "lookups" ? 20 : 50);
    work.deadline = now_ + std::chrono::milliseconds(1 + random_() % LongestDeadlineMs);
    work.opensTransaction = random_() % 4 == 0;
    if (!held_.empty() && random_() % 2 == 0) {
        work.heldConnection = *held_.begin();
        work.opensTransaction = false;
    }
    return work;
}

void PoolModel::started(const StartWork &start)
{
    const auto found = waiting_.find(start.work);
    require(found != waiting_.end(), "work was started that was not waiting");
    if (found == waiting_.end()) {
        return;
    }
    const PoolWork &work = found->second;
    require(work.deadline > now_, "work was started after its deadline");
    require(open_.contains(start.connection), "work was started on a connection that is not open");
    require(!busy_.contains(start.connection), "two statements share a connection");
    require(
        held_.contains(start.connection) == (work.heldConnection != 0), "a transaction's connection was given away");
    require(work.heldConnection == 0 || work.heldConnection == start.connection, "a transaction changed connections");
    held_.erase(start.connection);
    busy_[start.connection] = { start.work, work.opensTransaction || work.heldConnection != 0 };
    require(busy_.size() <= slots_, "more statements run than there are slots");
    waiting_.erase(found);
}

void PoolModel::apply()
{
    for (std::vector<PoolAction> actions = pool_.takeActions(); !actions.empty(); actions = pool_.takeActions()) {
        for (const PoolAction &action : actions) {
            if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
                opening_.insert(open->connection);
                require(opening_.size() + open_.size() <= limit_, "more connections were opened than allowed");
            } else if (const auto *close = std::get_if<CloseConnection>(&action); close != nullptr) {
                opening_.erase(close->connection);
                open_.erase(close->connection);
                require(!busy_.contains(close->connection), "a connection was closed under a statement");
                require(!held_.contains(close->connection), "a connection was closed under a transaction");
            } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
                started(*start);
            } else if (const auto *refuse = std::get_if<RefuseWork>(&action); refuse != nullptr) {
                require(waiting_.erase(refuse->work) == 1, "work was refused twice or after it was started");
                require(errorResponseFor(refuse->error.kind).executed == Executed::No,
                    "a refusal does not promise that nothing ran");
            } else if (const auto *silent = std::get_if<SilentConnection>(&action); silent != nullptr) {
                const auto found = busy_.find(silent->connection);
                require(
                    found != busy_.end() && found->second.work == silent->work, "a free connection is called silent");
                busy_.erase(silent->connection);
                pool_.finish(now_, silent->connection, ConnectionEnd::Failed);
            }
        }
    }
    require(pool_.openConnections() == opening_.size() + open_.size(), "the pool lost count of its connections");
    require(pool_.running() == busy_.size(), "the pool lost count of its slots");
    require(pool_.queued() == waiting_.size(), "the pool lost work");
}

void PoolModel::endOne()
{
    if (busy_.empty()) {
        return;
    }
    const auto chosen = std::next(busy_.begin(), static_cast<std::ptrdiff_t>(random_() % busy_.size()));
    const auto [connection, used] = *chosen;
    busy_.erase(chosen);
    const std::uint64_t end = random_() % 10;
    if (end == 0) {
        open_.erase(connection);
        pool_.connectionClosed(now_, connection);
    } else if (end <= 2) {
        pool_.finish(now_, connection, end == 1 ? ConnectionEnd::Abandoned : ConnectionEnd::Failed);
    } else if (used.transaction && end <= 7) {
        held_.insert(connection);
        pool_.hold(now_, connection);
    } else {
        pool_.finish(now_, connection, ConnectionEnd::Reusable);
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
                pool_.connectionClosed(now_, connection);
            } else {
                open_.insert(connection);
                pool_.connectionOpened(now_, connection);
            }
        }
        break;
    case 4:
        if (!held_.empty()) {
            const ConnectionId connection = *held_.begin();
            held_.erase(held_.begin());
            pool_.finish(now_, connection, random_() % 2 == 0 ? ConnectionEnd::Reusable : ConnectionEnd::Abandoned);
        }
        break;
    case 5:
        pool_.setTarget(now_, ClassId { "lookups" }, std::chrono::milliseconds(1 + random_() % 40));
        break;
    case 6:
    case 7:
        endOne();
        break;
    default: {
        const PoolWork work = randomWork();
        waiting_[work.id] = work;
        pool_.submit(now_, work);
        break;
    }
    }
    apply();
}

void PoolModel::settle(int most)
{
    for (int round = 0; round < most && !waiting_.empty(); ++round) {
        now_ += std::chrono::milliseconds(10);
        pool_.tick(now_);
        apply();
    }
}
