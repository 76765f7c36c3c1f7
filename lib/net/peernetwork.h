// Messages between VMs over TCP: one connection for each direction, frames signed with the shared key.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/faultplan.h"
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

    PeerNetwork(
        EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    Expected<void> listen();

    /// Sends \p payload; a message to this VM itself is delivered at once.
    void send(const VmId &to, const PeerPayload &payload);

    /// Makes a VM known, or changes its address.
    void setPeer(const VmId &vm, const Endpoint &address);

    /// Forgets a VM that is gone; a seed stays known.
    void removePeer(const VmId &vm);

    /// Breaks the connection to a VM that is dead, so that nothing waits for it.
    void reset(const VmId &vm);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace daisyrelay
