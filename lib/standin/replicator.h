// Replicates the log of the primary to a replica, with an adjustable lag.
#pragma once

#include "daisyrelay/net.h"
#include "daisyrelay/standin/database.h"

#include "faults.h"

#include <functional>
#include <memory>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Pulls log entries from the primary over HTTP.
class Replicator
{
public:
    /// \param onLogChanged is called after entries were appended to the replica.
    Replicator(
        boost::asio::io_context &context, Database &database, const Faults &faults, std::function<void()> onLogChanged);

    /// Pulls the next entries immediately and then continuously. Pauses while the database is the primary.
    void pullEntries();

    /// Switches to another primary.
    void followPrimary(const Endpoint &primary);

    /// Returns the response of \p database to a pull for the entries after \p from, as JSON.
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
