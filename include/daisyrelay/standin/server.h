// HTTP server of a stand-in database, with replication, announcements and fault injection.
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
    std::vector<Endpoint> entries; ///< Entries to announce to, in turn.
    std::uint32_t maxConnections = 16; ///< Further connections are closed.
    std::uint32_t slots = 2; ///< Statements that run concurrently; further ones are rejected as busy.
    std::chrono::milliseconds connectDelay { 12 }; ///< Delay before a connection is accepted.
    std::chrono::microseconds serviceTime { 1000 }; ///< Execution time of a statement.
    std::chrono::milliseconds replicationLag { 0 }; ///< Delay before a replica applies received entries.
};

/// One stand-in database server.
class StandinServer
{
public:
    StandinServer(boost::asio::io_context &context, StandinOptions options);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /// Listens and starts announcements and replication.
    Expected<void> start();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyrelay
