#include "daisyrelay/wire/clustermessages.h"

#include "daisyrelay/wire/codec.h"

#include "archive.h"

namespace daisyrelay {

std::string encodeClusterMessage(const ClusterMessage &message)
{
    return encodeValue(message);
}

Expected<ClusterMessage> decodeClusterMessage(std::string_view bytes)
{
    return decodeValue<ClusterMessage>(bytes, MaxPeerMessageBytes);
}

std::string encodeSupervisionCommand(const SupervisionCommand &command)
{
    return encodeValue(command);
}

Expected<SupervisionCommand> decodeSupervisionCommand(std::string_view bytes)
{
    return decodeValue<SupervisionCommand>(bytes, MaxPeerMessageBytes);
}

} // namespace daisyrelay
