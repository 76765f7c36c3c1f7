// A thread with one duty. Other threads hand it tasks through a bounded ring; a full ring refuses.
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

/// Runs an io_context on a thread of its own.
class EventLoopThread
{
public:
    using Task = std::function<void()>;

    /// \param name appears in the counter "ring.full.<name>".
    EventLoopThread(std::string name, Counters &counters);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    void start();

    /// Stops the thread and waits for it; tasks still in the ring are dropped.
    void stop();

    /// Hands \p task to the thread. \returns false, and counts it, if the ring is full.
    bool tryPost(Task task);

    /// Calls \p task on the thread every \p interval until stop().
    void runEvery(Duration interval, const Task &task);

    boost::asio::io_context &context();

private:
    static constexpr std::size_t RingCapacity = 16384;

    void drainRing();

    std::string name_;
    Counters &counters_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::mutex mutex_; ///< Guards the ring and the flag.
    boost::circular_buffer<Task> ring_;
    bool isDrainScheduled_ = false;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    std::thread thread_;
};

} // namespace daisyrelay
