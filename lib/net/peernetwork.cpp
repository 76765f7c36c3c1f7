#include "peernetwork.h"

#include "incomingpeerconnection.h"
#include "outgoingpeerconnection.h"

#include <algorithm>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

struct PeerNetwork::State : std::enable_shared_from_this<PeerNetwork::State> {
    State(EventLoopThread &peerThread, const Settings &processSettings, Counters &counterRegistry,
        FaultInjector &faultInjector, Hooks eventHooks)
        : thread(peerThread)
        , settings(processSettings)
        , counters(counterRegistry)
        , faults(faultInjector)
        , hooks(std::move(eventHooks))
        , codec(processSettings.secret)
        , acceptor(peerThread.context())
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const ErrorCode &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                ErrorCode ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const auto onFrame
                    = [self](const VmId &from, std::string_view body) { return self->receive(from, body); };
                std::make_shared<IncomingPeerConnection>(
                    std::move(socket), self->codec, self->settings.id, onFrame, self->counters)
                    ->start();
            }
            self->accept();
        });
    }

    /// \returns false if the connection must be closed.
    bool receive(const VmId &from, std::string_view body)
    {
        Expected<PeerMessage> message = decodePeerMessage(body);
        if (!message) {
            counters.add("peer.rejected.malformed");
            return false;
        }
        if (message->from != from) {
            counters.add("peer.rejected.wrong-sender");
            return false;
        }
        if (!faults.blocksIncoming(from)) {
            hooks.onMessage(std::move(*message));
        }
        return true;
    }

    [[nodiscard]] bool isSeed(const VmId &vm) const
    {
        return std::any_of(
            settings.seeds.begin(), settings.seeds.end(), [&vm](const Seed &seed) { return seed.id == vm; });
    }

    EventLoopThread &thread;
    Settings settings;
    Counters &counters;
    FaultInjector &faults;
    Hooks hooks;
    FrameCodec codec;
    tcp::acceptor acceptor;
    std::map<VmId, std::shared_ptr<OutgoingPeerConnection>> connections;
};

PeerNetwork::PeerNetwork(
    EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks)
    : state_(std::make_shared<State>(thread, settings, counters, faults, std::move(hooks)))
{
    for (const Seed &seed : settings.seeds) {
        setPeer(seed.id, seed.peer);
    }
}

PeerNetwork::~PeerNetwork()
{
    ErrorCode ignored;
    state_->acceptor.close(ignored);
}

Expected<void> PeerNetwork::listen()
{
    const Endpoint &address = state_->settings.peer;
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        state_->acceptor.open(endpoint.protocol());
        state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
        state_->acceptor.bind(endpoint);
        state_->acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error &error) {
        return tl::unexpected(
            Error { ErrorKind::InvalidConfig, "cannot listen on the peer address: " + error.code().message() });
    }
    state_->accept();
    return {};
}

void PeerNetwork::send(const VmId &to, const PeerPayload &payload)
{
    const PeerMessage message { state_->settings.id, payload };
    if (to == state_->settings.id) {
        state_->hooks.onMessage(message);
        return;
    }
    const auto connection = state_->connections.find(to);
    if (connection == state_->connections.end()) {
        state_->counters.add("peer.dropped.unknown");
        state_->hooks.onUnreachable(to);
        return;
    }
    if (!state_->faults.blocksOutgoing(to)) {
        connection->second->send(encodePeerMessage(message));
    }
}

void PeerNetwork::setPeer(const VmId &vm, const Endpoint &address)
{
    if (vm == state_->settings.id) {
        return;
    }
    std::shared_ptr<OutgoingPeerConnection> &connection = state_->connections[vm];
    if (connection && connection->address() == address) {
        return;
    }
    if (connection) {
        connection->reset();
    }
    const auto notifyUnreachable = [weak = std::weak_ptr(state_), vm]() {
        if (const auto state = weak.lock(); state) {
            state->hooks.onUnreachable(vm);
        }
    };
    connection = std::make_shared<OutgoingPeerConnection>(
        state_->thread.context(), state_->codec, state_->settings.id, vm, address, notifyUnreachable, state_->counters);
}

void PeerNetwork::removePeer(const VmId &vm)
{
    reset(vm);
    if (!state_->isSeed(vm)) {
        state_->connections.erase(vm);
    }
}

void PeerNetwork::reset(const VmId &vm)
{
    if (const auto connection = state_->connections.find(vm); connection != state_->connections.end()) {
        connection->second->reset();
    }
}

} // namespace daisyrelay
