#include "daisyrelay/io/listen.h"

#include <array>

#include <linux/filter.h>
#include <sys/socket.h>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

Expected<void> listenOn(tcp::acceptor &acceptor, const Endpoint &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error &error) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig,
            "cannot listen on " + address.host + ":" + std::to_string(address.port) + ": " + error.code().message() });
    }
    return {};
}

void dropNewHandshakes(tcp::acceptor &acceptor)
{
    constexpr std::uint32_t FlagsOffset = 13; // Offset of the flags in the TCP header.
    constexpr std::uint32_t SynFlag = 0x02;
    constexpr std::uint32_t AcceptWholePacket = 0xffffffff;
    std::array<sock_filter, 4> program { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, AcceptWholePacket),
    } };
    const sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
    // Without the filter, only connections whose handshake completes at the
    // moment of closing are reset.
    (void)::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

void acceptBacklogAndClose(tcp::acceptor &acceptor, const std::function<void(tcp::socket socket)> &onAccepted)
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error && acceptor.is_open()) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            onAccepted(std::move(socket));
        }
    }
    acceptor.close(error);
}

} // namespace daisyrelay
