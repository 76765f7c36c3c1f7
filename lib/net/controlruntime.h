// The control duty of a VM: drives consensus and the control core, and talks to databases for them.
#pragma once

#include "daisyrelay/control.h"
#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/io/raftdriver.h"
#include "daisyrelay/net/duty.h"

#include <functional>

namespace daisyrelay {

/// Lives on the control thread.
class ControlRuntime
{
public:
    using Send = std::function<void(const VmId &to, PeerPayload payload)>;

    ControlRuntime(EventLoopThread &thread, const Settings &settings, Send send);

    /// Reads the data folder. \returns an error if the VM must not start with what is there.
    Expected<void> loadState(const Settings &settings, Counters &counters);

    /// To be called after loadState().
    void start();
    void onMessage(const PeerMessage &message);

    /// Asks no database for which \p isBlocked holds.
    void setBlockedCheck(std::function<bool(const Endpoint &)> isBlocked);

    /// Returns this VM's part in the consensus as text for the status page.
    [[nodiscard]] std::string roleName() const;

private:
    /// What came of a question to a database.
    struct DatabaseResponse {
        std::optional<HttpResponse> response;
        bool isRefused = false; ///< The host refused the connection.

        [[nodiscard]] std::optional<LogPoint> point() const;
    };

    void tick();
    void scheduleFlush();
    void updateLeadership();
    void flush();
    void performAction(const ControlAction &action);
    void sendDatabaseRequest(
        const Endpoint &address, const HttpRequest &request, std::function<void(const DatabaseResponse &)> done);

    EventLoopThread &thread_;
    VmId self_;
    Send send_;
    std::function<bool(const Endpoint &)> isBlocked_;
    ControlCore control_;
    std::unique_ptr<RaftDriver> raft_;
    bool isFlushPending_ = false;
};

} // namespace daisyrelay
