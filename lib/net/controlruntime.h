// The control duty of a VM: drives consensus and the control core, and talks to databases for them.
#pragma once

#include "daisyrelay/consensus.h"
#include "daisyrelay/control.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/httpconnection.h"

#include <functional>

namespace daisyrelay {

/// Lives on the control thread.
class ControlRuntime
{
public:
    using Send = std::function<void(const VmId &to, PeerPayload payload)>;

    ControlRuntime(Duty &duty, const Settings &settings, Send send);

    void start();
    void onMessage(const PeerMessage &message);

    /// Asks no database for which \p isCut holds.
    void setCut(std::function<bool(const Endpoint &)> isCut);

    /// Returns this VM's part in the consensus as text for the status page.
    [[nodiscard]] std::string describe() const;

private:
    void tick();
    void flush();
    void perform(const ControlAction &action);
    void ask(
        const Endpoint &address, const HttpRequest &request, std::function<void(std::optional<HttpResponse>)> done);

    Duty &duty_;
    VmId self_;
    Send send_;
    std::function<bool(const Endpoint &)> isCut_;
    RaftCore raft_;
    ControlCore control_;
};

} // namespace daisyrelay
