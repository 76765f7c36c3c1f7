// Announces a stand-in database to the entries in turn, as if a load balancer distributed the announcements.
#pragma once

#include "daisyrelay/net.h"
#include "daisyrelay/standin/server.h"

#include "faults.h"

#include <functional>
#include <memory>

namespace daisyrelay {

/// Sends periodic announcements of one database.
class Announcer
{
public:
    /// \param buildBody returns the current announcement as JSON.
    Announcer(boost::asio::io_context &context, const StandinOptions &options, const Faults &faults,
        std::function<std::string()> buildBody);

    /// Sends an announcement immediately and then periodically.
    void announce();

private:
    boost::asio::io_context &context_;
    const StandinOptions &options_;
    const Faults &faults_;
    std::function<std::string()> buildBody_;
    std::unique_ptr<HttpConnection> connection_;
    std::size_t nextEntry_ = 0;
};

} // namespace daisyrelay
