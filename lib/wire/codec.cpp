#include "daisyrelay/wire/codec.h"

#include "archive.h"

namespace daisyrelay {

std::string encodePeerMessage(const PeerMessage &message)
{
    return encodeValue(message);
}

Expected<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeValue<PeerMessage>(bytes, LargestPeerMessage);
}

std::string encodeControlCommand(const ControlCommand &command)
{
    return encodeValue(command);
}

Expected<ControlCommand> decodeControlCommand(std::string_view bytes)
{
    return decodeValue<ControlCommand>(bytes, LargestPeerMessage);
}

std::string encodeGossipMessage(const GossipMessage &message)
{
    return encodeValue(message);
}

Expected<GossipMessage> decodeGossipMessage(std::string_view bytes)
{
    return decodeValue<GossipMessage>(bytes, LargestDatagram);
}

std::size_t encodedSize(const MemberRecord &record)
{
    return encodeValue(record).size();
}

std::size_t encodedSize(const BackendAnnouncement &announcement)
{
    return encodeValue(announcement).size();
}

std::size_t encodedSize(const BackendPulse &pulse)
{
    return encodeValue(pulse).size();
}

std::size_t encodedSize(const ServiceDigest &digest)
{
    return encodeValue(digest).size();
}

} // namespace daisyrelay
