#include "daisyrelay/wire/codec.h"

#include "archive.h"

namespace daisyrelay {

std::string encodePeerMessage(const PeerMessage &message)
{
    return encodeValue(message);
}

Expected<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeValue<PeerMessage>(bytes, MaxPeerMessageBytes);
}

std::string encodeControlCommand(const ControlCommand &command)
{
    return encodeValue(command);
}

Expected<ControlCommand> decodeControlCommand(std::string_view bytes)
{
    return decodeValue<ControlCommand>(bytes, MaxPeerMessageBytes);
}

std::string encodeMembership(const Membership &membership)
{
    return encodeValue(membership);
}

Expected<Membership> decodeMembership(std::string_view bytes)
{
    return decodeValue<Membership>(bytes, MaxPeerMessageBytes);
}

std::string encodeRaftSnapshot(const RaftSnapshot &snapshot)
{
    return encodeValue(snapshot);
}

Expected<RaftSnapshot> decodeRaftSnapshot(std::string_view bytes)
{
    return decodeValue<RaftSnapshot>(bytes, MaxStoredValueBytes);
}

std::string encodeLogRecord(const LogRecord &record)
{
    return encodeValue(record);
}

Expected<LogRecord> decodeLogRecord(std::string_view bytes)
{
    return decodeValue<LogRecord>(bytes, MaxStoredValueBytes);
}

std::string encodeGossipMessage(const GossipMessage &message)
{
    return encodeValue(message);
}

Expected<GossipMessage> decodeGossipMessage(std::string_view bytes)
{
    return decodeValue<GossipMessage>(bytes, MaxDatagramBytes);
}

std::size_t encodedSize(const MemberRecord &record)
{
    return encodeValue(record).size();
}

std::size_t encodedSize(const BackendAnnouncement &announcement)
{
    return encodeValue(announcement).size();
}

std::size_t encodedSize(const PositionUpdate &update)
{
    return encodeValue(update).size();
}

std::size_t encodedSize(const ServiceDigest &digest)
{
    return encodeValue(digest).size();
}

} // namespace daisyrelay
