// The control role of a VM: drives consensus and the control core, and sends their requests to backend servers.
#pragma once

#include "daisyrelay/control.h"
#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/io/raftdriver.h"
#include "daisyrelay/net/eventloopthread.h"

#include <functional>

namespace daisyrelay {

/// Must be used on the control thread only.
class ControlRuntime
{
public:
    using Send = std::function<void(const VmId &to, PeerPayload payload)>;

    ControlRuntime(EventLoopThread &thread, const Settings &settings, Send send);

    /// Restores the state from the data folder.
    /// \returns an error if the folder is damaged or in use, in which case the VM must not start.
    Expected<void> loadState(const Settings &settings, Counters &counters);

    /// Must be called after loadState().
    void start();
    void onMessage(const PeerMessage &message);

    /// Simulates a network failure: requests to addresses for which \p isBlocked returns true time out.
    void setBlockedCheck(std::function<bool(const Endpoint &)> isBlocked);

    /// Returns the consensus role of this VM as text.
    [[nodiscard]] std::string roleName() const;

private:
    /// The result of a request to a backend server.
    struct BackendRequestResult {
        std::optional<HttpResponse> response;
        bool isRefused = false; ///< The host refused the connection, so the server is not running.

        /// Returns the log position in the response, if it is valid.
        [[nodiscard]] std::optional<LogPoint> point() const;
    };

    void tick();
    /// Posts a flush() behind the messages that are already queued, so that one sync covers all of them.
    void scheduleFlush();
    /// Passes to the control core whether this VM is the leader. Called before each input, because the process may
    /// have been suspended since the previous input.
    void updateLeadership();
    void flush();
    void performAction(const ControlAction &action);
    void sendBackendRequest(
        const Endpoint &address, const HttpRequest &request, std::function<void(const BackendRequestResult &)> done);

    EventLoopThread &thread_;
    VmId self_;
    Send send_;
    std::function<bool(const Endpoint &)> isBlocked_;
    ControlCore control_;
    std::unique_ptr<RaftDriver> raft_;
    bool isFlushPending_ = false;
};

} // namespace daisyrelay
