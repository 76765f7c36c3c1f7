// Pulls the log of the primary into a replica, with a settable lag.
#pragma once

#include "daisyrelay/net.h"
#include "daisyrelay/standin/database.h"

#include "faults.h"

#include <functional>
#include <memory>

#include <boost/json/object.hpp>

namespace daisyrelay {

class Replicator
{
public:
    /// \param onLogChanged is called when the replica's log has changed.
    Replicator(
        boost::asio::io_context &context, Database &database, const Faults &faults, std::function<void()> onLogChanged);

    /// Pulls the next entries, and so on for ever.
    void pullEntries();

    /// Pulls from another primary from now on.
    void followPrimary(const Endpoint &primary);

    /// Answers a replica's pull from this database.
    [[nodiscard]] static std::string buildPullResponse(const Database &database, const LogPoint &from);

private:
    void onPullResponse(const boost::json::object &body);

    boost::asio::io_context &context_;
    Database &database_;
    const Faults &faults_;
    std::function<void()> onLogChanged_;
    Endpoint primary_;
    std::unique_ptr<HttpConnection> connection_;
};

} // namespace daisyrelay
