// Asks backend servers on behalf of the supervisor, over one connection to each that is kept while it works.
#pragma once

#include "backendlinks.h"

#include <map>

namespace daisyrelay {

class ProbeClient
{
public:
    using Done = std::function<void(const ProbeOutcome &outcome)>;

    ProbeClient(boost::asio::io_context &context, const PlatformHooks &platform, Done done);

    void ask(const ProbeBackend &probe);

    /// Gives up what is overdue and closes connections that are not used any more.
    void tick(Instant now);

    void closeAll();

private:
    struct Link {
        ConnectionId connection = 0;
        bool opened = false;
        std::int64_t startedAtMs = 0;
        Instant usedAt {};
        std::optional<ProbeBackend> probe;
        Instant deadline {};
    };

    void run(Link &link);
    void finish(const BackendId &backend, ProbeOutcome outcome, bool keep);
    void onExchange(ConnectionId connection, const std::vector<BackendResponse> &answers);
    [[nodiscard]] BackendId backendOf(ConnectionId connection) const;

    const PlatformHooks &platform_;
    Done done_;
    BackendLinks links_;
    std::map<BackendId, Link> backends_;
    ConnectionId nextConnection_ = 1;
};

} // namespace daisyrelay
