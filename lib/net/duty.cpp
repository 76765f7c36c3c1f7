#include "daisyrelay/net/duty.h"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>

namespace daisyrelay {

Duty::Duty(std::string name, Counters &counters)
    : name_(std::move(name))
    , counters_(counters)
    , context_(1)
    , work_(boost::asio::make_work_guard(context_))
    , ring_(RingCapacity)
{
}

Duty::~Duty()
{
    stop();
}

void Duty::start()
{
    thread_ = std::thread([this]() { context_.run(); });
}

void Duty::stop()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool Duty::tryPost(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (ring_.full()) {
            counters_.add("ring.full." + name_);
            return false;
        }
        ring_.push_back(std::move(task));
        if (std::exchange(wakePending_, true)) {
            return true;
        }
    }
    boost::asio::post(context_, [this]() { drainRing(); });
    return true;
}

void Duty::drainRing()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(mutex_);
        wakePending_ = false;
        tasks.reserve(ring_.size());
        std::move(ring_.begin(), ring_.end(), std::back_inserter(tasks));
        ring_.clear();
    }
    for (const Task &task : tasks) {
        task();
    }
}

static void schedule(boost::asio::steady_timer &timer, Duration interval, const Duty::Task &task)
{
    timer.expires_after(interval);
    timer.async_wait([&timer, interval, task](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        task();
        schedule(timer, interval, task);
    });
}

void Duty::every(Duration interval, const Task &task)
{
    timers_.push_back(std::make_unique<boost::asio::steady_timer>(context_));
    schedule(*timers_.back(), interval, task);
}

boost::asio::io_context &Duty::context()
{
    return context_;
}

} // namespace daisyrelay
