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

} // namespace daisyrelay
