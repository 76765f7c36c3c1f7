// Messages between VMs over TCP: one connection for each direction, frames signed with the shared key.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/wire.h"

#include <functional>
#include <map>
#include <memory>

namespace daisyrelay {

/// Lives on the peer thread; losing a message is allowed, mixing or forging one is not.
class PeerNetwork
{
public:
    struct Hooks {
        std::function<void(PeerMessage)> onMessage;
        std::function<void(VmId)> onUnreachable; ///< The connection to a VM broke or can not be made.
    };

    PeerNetwork(Duty &duty, const Settings &settings, Counters &counters, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    Expected<void> listen();

    /// Sends \p payload; a message to this VM itself is delivered at once.
    void send(const VmId &to, const PeerPayload &payload);

    /// Drops all messages from and to the VMs for which \p isCut holds.
    void setCut(std::function<bool(const VmId &)> isCut);

    /// Returns all VMs that messages can be sent to, without this one.
    [[nodiscard]] std::vector<VmId> peers() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace daisyrelay
