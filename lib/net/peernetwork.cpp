#include "peernetwork.h"

#include "framecodec.h"

#include <deque>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LongestQueue = 4096;
static constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);

namespace {

/// The outgoing connection to one VM.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(asio::io_context &context, Endpoint address, std::function<void()> onBroken, Counters &counters)
        : socket_(context), address_(std::move(address)), onBroken_(std::move(onBroken)), counters_(counters)
    {
    }

    void send(std::string frame)
    {
        if (!connected_ && !connecting_ && Clock::now() < retryAt_) {
            counters_.add("peer.dropped.unreachable");
            return;
        }
        if (queue_.size() >= LongestQueue) {
            counters_.add("peer.dropped.queue-full");
            return;
        }
        queue_.push_back(std::move(frame));
        if (connected_) {
            writeNext();
        } else if (!connecting_) {
            connect();
        }
    }

private:
    void connect()
    {
        connecting_ = true;
        ErrorCode error;
        const asio::ip::address ip = asio::ip::make_address(address_.host, error);
        socket_.async_connect(tcp::endpoint(ip, address_.port), [self = shared_from_this()](const ErrorCode &failure) {
            self->connecting_ = false;
            if (failure) {
                self->broken();
                return;
            }
            ErrorCode ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->connected_ = true;
            self->watchForClose();
            self->writeNext();
        });
    }

    /// The other side never writes on this connection, so a finished read means that it is gone.
    void watchForClose()
    {
        socket_.async_read_some(
            asio::buffer(unused_), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                if (error != asio::error::operation_aborted) {
                    self->broken();
                }
            });
    }

    void writeNext()
    {
        if (writing_ || queue_.empty()) {
            return;
        }
        writing_ = true;
        asio::async_write(
            socket_, asio::buffer(queue_.front()), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                self->writing_ = false;
                if (error) {
                    self->broken();
                    return;
                }
                if (!self->queue_.empty()) {
                    self->queue_.pop_front();
                }
                self->writeNext();
            });
    }

    void broken()
    {
        if (writing_) {
            // The buffer of the write under way must live until its handler has run.
            ErrorCode ignored;
            socket_.close(ignored);
            connected_ = false;
            return;
        }
        ErrorCode ignored;
        socket_.close(ignored);
        connected_ = false;
        queue_.clear();
        retryAt_ = Clock::now() + ReconnectDelay;
        onBroken_();
    }

    tcp::socket socket_;
    Endpoint address_;
    std::function<void()> onBroken_;
    Counters &counters_;
    std::deque<std::string> queue_;
    std::array<char, 1> unused_ {};
    bool connected_ = false;
    bool connecting_ = false;
    bool writing_ = false;
    Instant retryAt_ {};
};

/// An incoming connection from some VM.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver>
{
public:
    PeerReceiver(tcp::socket socket, std::function<bool(std::string_view)> onFrame)
        : socket_(std::move(socket)), onFrame_(std::move(onFrame))
    {
    }

    void read()
    {
        asio::async_read(
            socket_, asio::buffer(length_), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                if (!error) {
                    self->readPayload();
                }
            });
    }

private:
    void readPayload()
    {
        const Expected<std::size_t> size = FrameCodec::payloadSize(length_);
        if (!size) {
            return;
        }
        payload_.resize(*size);
        asio::async_read(
            socket_, asio::buffer(payload_), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                if (!error && self->onFrame_(self->payload_)) {
                    self->read();
                }
            });
    }

    tcp::socket socket_;
    std::function<bool(std::string_view)> onFrame_;
    std::array<unsigned char, FrameCodec::LengthBytes> length_ {};
    std::string payload_;
};

} // namespace

struct PeerNetwork::State : std::enable_shared_from_this<PeerNetwork::State> {
    State(Duty &peerDuty, const Settings &processSettings, Counters &counterRegistry, Hooks eventHooks)
        : duty(peerDuty)
        , settings(processSettings)
        , counters(counterRegistry)
        , hooks(std::move(eventHooks))
        , codec(processSettings.secret)
        , acceptor(peerDuty.context())
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
                std::make_shared<PeerReceiver>(std::move(socket), [self](std::string_view payload) {
                    return self->receive(payload);
                })->read();
            }
            self->accept();
        });
    }

    /// \returns false if the connection must be closed.
    bool receive(std::string_view payload)
    {
        const Expected<std::string_view> body = codec.open(payload);
        if (!body) {
            counters.add("peer.rejected.signature");
            return false;
        }
        Expected<PeerMessage> message = decodePeerMessage(*body);
        if (!message) {
            counters.add("peer.rejected.malformed");
            return false;
        }
        if (!isCut || !isCut(message->from)) {
            hooks.onMessage(std::move(*message));
        }
        return true;
    }

    Duty &duty;
    Settings settings;
    Counters &counters;
    Hooks hooks;
    FrameCodec codec;
    tcp::acceptor acceptor;
    std::map<VmId, std::shared_ptr<PeerLink>> links;
    std::function<bool(const VmId &)> isCut;
};

PeerNetwork::PeerNetwork(Duty &duty, const Settings &settings, Counters &counters, Hooks hooks)
    : state_(std::make_shared<State>(duty, settings, counters, std::move(hooks)))
{
    for (const Seed &seed : settings.seeds) {
        if (seed.id != settings.id) {
            const auto unreachable = [weak = std::weak_ptr(state_), vm = seed.id]() {
                if (const auto state = weak.lock(); state) {
                    state->hooks.onUnreachable(vm);
                }
            };
            state_->links.emplace(
                seed.id, std::make_shared<PeerLink>(duty.context(), seed.peer, unreachable, counters));
        }
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
        return tl::unexpected(Error { ErrorKind::InvalidConfig, "peer: " + error.code().message() });
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
    const auto link = state_->links.find(to);
    if (link == state_->links.end()) {
        state_->counters.add("peer.dropped.unknown");
        return;
    }
    if (state_->isCut && state_->isCut(to)) {
        return;
    }
    link->second->send(state_->codec.encode(encodePeerMessage(message)));
}

void PeerNetwork::setCut(std::function<bool(const VmId &)> isCut)
{
    state_->isCut = std::move(isCut);
}

std::vector<VmId> PeerNetwork::peers() const
{
    std::vector<VmId> result;
    for (const auto &[vm, link] : state_->links) {
        result.push_back(vm);
    }
    return result;
}

} // namespace daisyrelay
