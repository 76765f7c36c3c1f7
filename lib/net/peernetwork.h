// Messages between VMs over TCP, with one connection for each direction.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/net/eventloopthread.h"
#include "daisyrelay/net/faultinjector.h"
#include "daisyrelay/wire.h"

#include <functional>
#include <map>
#include <memory>

namespace daisyrelay {

/// Signs all frames with keys derived from the shared secret. Messages may be lost, but never altered or attributed to
/// the wrong sender. Must be used on the peer thread only.
class PeerNetwork
{
public:
    struct Hooks {
        std::function<void(PeerMessage)> onMessage;
        std::function<void(VmId)> onUnreachable; ///< The connection to a VM broke or could not be opened.
    };

    PeerNetwork(
        EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// \returns an error if the peer address cannot be bound.
    Expected<void> listen();

    /// Sends \p payload; a message to this VM itself is delivered immediately.
    void send(const VmId &to, const PeerPayload &payload);

    /// Adds a VM or changes its address.
    void setPeer(const VmId &vm, const Endpoint &address);

    /// Closes the connection to a VM and removes it; seeds are not removed.
    void removePeer(const VmId &vm);

    /// Closes the connection to a VM that is dead, so that no message waits for it.
    void reset(const VmId &vm);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace daisyrelay
