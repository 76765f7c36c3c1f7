// Prevents a forwarded request from running twice or after its caller has stopped waiting.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <set>

namespace daisyrelay {

/// Whether a forwarded request may run.
enum class ForwardStatus : std::uint8_t {
    Accepted,
    Duplicate, ///< A message with the same identifier was received before.
    Late, ///< The message was in transit for longer than its caller waits.
};

/// Detects duplicates by identifier and late messages by their transit time. The clocks of two VMs are not comparable,
/// so the transit time is the difference between arrival and send time minus the minimum difference seen from that VM.
class ForwardGuard
{
public:
    ForwardStatus check(Instant now, const VmId &from, const ForwardRequest &forward);

private:
    struct Peer {
        std::int64_t minOffsetMs = 0; ///< Minimum of (arrival time - send time) in this and the previous period.
        /// Minimum in the current period alone, so that clock drift is followed.
        std::int64_t currentPeriodMinOffsetMs = 0;
        Instant periodStart;
        std::set<std::uint64_t> seenForwards;
        std::deque<std::pair<Instant, std::uint64_t>> arrivals;
    };

    static std::int64_t delayMs(Instant now, std::int64_t sentAtMs, Peer &peer, bool isNew);

    std::map<VmId, Peer> peers_;
};

} // namespace daisyrelay
