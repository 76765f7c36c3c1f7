// Datagrams of the membership protocol: authentication tag, body.
#pragma once

#include "daisyrelay/wire.h"

#include "sharedkey.h"

namespace daisyrelay {

/// Signs and checks datagrams with a key derived from the system's secret.
class GossipCodec
{
public:
    explicit GossipCodec(const std::string &secret);

    [[nodiscard]] std::string seal(const GossipMessage &message) const;

    /// \returns an error unless \p datagram is one whole message signed with the key.
    [[nodiscard]] Expected<GossipMessage> open(std::string_view datagram) const;

private:
    SharedKey key_;
};

} // namespace daisyrelay
