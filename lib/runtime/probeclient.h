// Asks backend servers on behalf of the supervisor, over one connection to each that is kept while it works.
#pragma once

#include "backendlinks.h"

#include <map>

namespace daisyrelay {

class ProbeClient
{
public:
    using ResultHandler = std::function<void(const ProbeOutcome &outcome)>;

    ProbeClient(boost::asio::io_context &context, const PlatformHooks &platform, ResultHandler onResult);

    void startProbe(const ProbeBackend &probe);

    /// Gives up what is overdue and closes connections that are not used any more.
    void tick(Instant now);

    void closeAll();

private:
    struct ProbeConnection {
        ConnectionId connection = 0;
        bool isOpened = false;
        std::int64_t startedAtMs = 0;
        Instant lastUsedAt {};
        std::optional<ProbeBackend> probe;
        Instant deadline {};
    };

    void sendProbe(ProbeConnection &state);
    void finishProbe(const BackendId &backend, ProbeOutcome outcome, bool shouldKeepConnection);
    void onExchange(ConnectionId connection, const std::vector<BackendResponse> &responses);
    [[nodiscard]] BackendId backendOf(ConnectionId connection) const;

    const PlatformHooks &platform_;
    ResultHandler onResult_;
    BackendConnections connections_;
    std::map<BackendId, ProbeConnection> connectionByBackend_;
    ConnectionId nextConnection_ = 1;
};

} // namespace daisyrelay
