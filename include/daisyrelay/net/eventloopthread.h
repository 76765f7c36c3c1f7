// A thread that runs an event loop and accepts tasks from other threads.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/circular_buffer.hpp>

namespace daisyrelay {

/// Runs an io_context on its own thread. Other threads post tasks through a bounded ring buffer.
class EventLoopThread
{
public:
    using Task = std::function<void()>;

    /// \param name Suffix of the counter "ring.full.<name>".
    EventLoopThread(std::string name, Counters &counters);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    void start();

    /// Stops and joins the thread; tasks that are still in the ring are dropped.
    void stop();

    /// Queues \p task for the thread. May be called on any thread.
    /// \returns false, and increments the counter, if the ring is full.
    bool tryPost(Task task);

    /// Runs \p task on the thread repeatedly, \p interval after the previous run, until stop().
    void runEvery(Duration interval, const Task &task);

    boost::asio::io_context &context();

private:
    static constexpr std::size_t RingCapacity = 16384;

    void drainRing();

    std::string name_;
    Counters &counters_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::mutex mutex_; ///< Guards ring_ and isDrainScheduled_.
    boost::circular_buffer<Task> ring_;
    bool isDrainScheduled_ = false; ///< Whether drainRing() was posted and has not started.
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    std::thread thread_;
};

} // namespace daisyrelay
