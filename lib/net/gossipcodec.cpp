#include "gossipcodec.h"

namespace daisyrelay {

GossipCodec::GossipCodec(const std::string &secret) : key_("daisyrelay gossip 1", secret)
{
}

std::string GossipCodec::seal(const GossipMessage &message) const
{
    const std::string body = encodeGossipMessage(message);
    return key_.computeTag("", body) + body;
}

Expected<GossipMessage> GossipCodec::open(std::string_view datagram) const
{
    if (datagram.size() <= SharedKey::TagBytes || datagram.size() > MaxDatagramBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "datagram of a wrong size" });
    }
    const std::string_view body = datagram.substr(SharedKey::TagBytes);
    if (!key_.verifyTag(datagram.substr(0, SharedKey::TagBytes), "", body)) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "datagram was not signed with the shared key" });
    }
    return decodeGossipMessage(body);
}

} // namespace daisyrelay
