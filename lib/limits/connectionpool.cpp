#include "daisyrelay/limits/connectionpool.h"

#include <algorithm>

namespace daisyrelay {

ConnectionPool::ConnectionPool(std::function<ConnectionId()> nextId) : nextId_(std::move(nextId))
{
}

void ConnectionPool::setLimits(Instant now, std::size_t connections, std::size_t slots)
{
    connectionLimit_ = connections;
    slotLimit_ = slots;
    while (openConnections() > connectionLimit_ && !idle_.empty()) {
        actions_.emplace_back(CloseConnection { *idle_.begin() });
        idle_.erase(idle_.begin());
    }
    dispatch(now);
}

void ConnectionPool::submit(Instant now, PoolWork work)
{
    queue_.push_back(std::move(work));
    dispatch(now);
}

bool ConnectionPool::cancel(Instant /*now*/, WorkId work)
{
    return std::erase_if(queue_, [work](const PoolWork &queued) { return queued.id == work; }) > 0;
}

void ConnectionPool::connectionOpened(Instant now, ConnectionId connection)
{
    if (opening_.erase(connection) > 0) {
        idle_.insert(connection);
    }
    dispatch(now);
}

void ConnectionPool::connectionClosed(Instant now, ConnectionId connection)
{
    opening_.erase(connection);
    idle_.erase(connection);
    busy_.erase(connection);
    dispatch(now);
}

void ConnectionPool::finish(Instant now, ConnectionId connection, bool reusable)
{
    if (busy_.erase(connection) == 0) {
        return;
    }
    if (reusable && openConnections() < connectionLimit_) {
        idle_.insert(connection);
    } else {
        actions_.emplace_back(CloseConnection { connection });
    }
    dispatch(now);
}

void ConnectionPool::tick(Instant now)
{
    std::erase_if(queue_, [this, now](const PoolWork &work) {
        if (work.deadline > now) {
            return false;
        }
        actions_.emplace_back(RefuseWork { work.id, { ErrorKind::DeadlinePassed, "no connection was free in time" } });
        return true;
    });
    dispatch(now);
}

std::vector<PoolAction> ConnectionPool::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t ConnectionPool::openConnections() const
{
    return opening_.size() + idle_.size() + busy_.size();
}

std::size_t ConnectionPool::queued() const
{
    return queue_.size();
}

std::size_t ConnectionPool::running() const
{
    return busy_.size();
}

void ConnectionPool::dispatch(Instant /*now*/)
{
    while (!queue_.empty() && !idle_.empty() && busy_.size() < slotLimit_) {
        const ConnectionId connection = *idle_.begin();
        idle_.erase(idle_.begin());
        busy_.insert(connection);
        actions_.emplace_back(StartWork { queue_.front().id, connection });
        queue_.pop_front();
    }
    while (queue_.size() > opening_.size() && openConnections() < connectionLimit_) {
        const ConnectionId connection = nextId_();
        opening_.insert(connection);
        actions_.emplace_back(OpenConnection { connection });
    }
}

} // namespace daisyrelay
