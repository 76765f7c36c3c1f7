// Rejects datagrams that were received before.
#pragma once

#include "daisyrelay/base.h"

#include <map>

namespace daisyrelay {

/// Keeps the highest boot and a window of sequence numbers for each sender.
class ReplayGuard
{
public:
    explicit ReplayGuard(std::size_t maxSenders);

    /// \returns whether the datagram is new. An unknown sender is rejected once the maximum number of senders is known.
    bool accept(const VmId &from, std::uint64_t boot, std::uint64_t sequence);

    void removeSender(const VmId &from);

private:
    struct Window {
        std::uint64_t boot = 0;
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n stands for the sequence number highest - n.
    };

    std::size_t maxSenders_;
    std::map<VmId, Window> windows_;
};

} // namespace daisyrelay
