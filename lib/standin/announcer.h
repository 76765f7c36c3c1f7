// Announces a stand-in database to one entry after the other, as if behind a balancer.
#pragma once

#include "daisyrelay/net.h"
#include "daisyrelay/standin/server.h"

#include "faults.h"

#include <functional>
#include <memory>

namespace daisyrelay {

class Announcer
{
public:
    /// \param buildBody returns the announcement as it is now.
    Announcer(boost::asio::io_context &context, const StandinOptions &options, const Faults &faults,
        std::function<std::string()> buildBody);

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
