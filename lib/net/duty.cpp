#include "daisyrelay/net/duty.h"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>

namespace daisyrelay {

EventLoopThread::EventLoopThread(std::string name, Counters &counters)
    : name_(std::move(name))
    , counters_(counters)
    , context_(1)
    , work_(boost::asio::make_work_guard(context_))
    , ring_(RingCapacity)
{
}

EventLoopThread::~EventLoopThread()
{
    stop();
}

void EventLoopThread::start()
{
    thread_ = std::thread([this]() { context_.run(); });
}

void EventLoopThread::stop()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool EventLoopThread::tryPost(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (ring_.full()) {
            counters_.add("ring.full." + name_);
            return false;
        }
        ring_.push_back(std::move(task));
        if (std::exchange(isDrainScheduled_, true)) {
            return true;
        }
    }
    boost::asio::post(context_, [this]() { drainRing(); });
    return true;
}

void EventLoopThread::drainRing()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(mutex_);
        isDrainScheduled_ = false;
        tasks.reserve(ring_.size());
        std::move(ring_.begin(), ring_.end(), std::back_inserter(tasks));
        ring_.clear();
    }
    for (const Task &task : tasks) {
        task();
    }
}

static void schedule(boost::asio::steady_timer &timer, Duration interval, const EventLoopThread::Task &task)
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

void EventLoopThread::runEvery(Duration interval, const Task &task)
{
    timers_.push_back(std::make_unique<boost::asio::steady_timer>(context_));
    schedule(*timers_.back(), interval, task);
}

boost::asio::io_context &EventLoopThread::context()
{
    return context_;
}

} // namespace daisyrelay
