// Refuses datagrams that were received before.
#pragma once

#include "daisyrelay/base.h"

#include <map>

namespace daisyrelay {

/// Keeps, for each sender, the highest boot and a window of sequence numbers.
class ReplayGuard
{
public:
    explicit ReplayGuard(std::size_t maxSenders);

    /// \returns whether the datagram is new; an unknown sender beyond the bound is refused.
    bool accept(const VmId &from, std::uint64_t boot, std::uint64_t sequence);

    void forget(const VmId &from);

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
