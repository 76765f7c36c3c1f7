// The stand-in database as a process: its HTTP interface, replication, announcements and faults on demand.
#pragma once

#include "daisyrelay/config.h"

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

struct StandinOptions {
    BackendId id;
    GroupKey group;
    ZoneId zone;
    Endpoint listen;
    std::vector<Endpoint> entries; ///< Where it announces itself, one after the other.
    std::uint32_t maxConnections = 16;
    std::uint32_t slots = 2;
    std::chrono::milliseconds connectDelay { 12 };
    std::chrono::microseconds serviceTime { 1000 };
    std::chrono::milliseconds replicationLag { 0 }; ///< Delay before a replica applies what it received.
};

class StandinServer
{
public:
    StandinServer(boost::asio::io_context &context, StandinOptions options);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    Expected<void> start();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyrelay
