#include "daisyrelay/io/listen.h"

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

} // namespace daisyrelay
