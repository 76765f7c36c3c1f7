// Datagrams of the membership protocol: an authentication tag and a body.
#pragma once

#include "daisyrelay/wire.h"

#include "sharedkey.h"

namespace daisyrelay {

/// Signs and verifies datagrams with a key derived from the shared secret.
class GossipCodec
{
public:
    explicit GossipCodec(const std::string &secret);

    [[nodiscard]] std::string seal(const GossipMessage &message) const;

    /// Verifies and decodes \p datagram. \returns an error unless it holds exactly one message that was signed with the
    /// key.
    [[nodiscard]] Expected<GossipMessage> open(std::string_view datagram) const;

private:
    SharedKey key_;
};

} // namespace daisyrelay
