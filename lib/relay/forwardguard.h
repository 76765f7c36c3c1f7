// Keeps a forwarded request from running twice or after its caller has stopped waiting.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <set>

namespace daisyrelay {

/// Whether a forwarded request may run.
enum class ForwardStatus : std::uint8_t {
    Accepted,
    Duplicate, ///< The same message came before.
    Late, ///< It was on its way for longer than its caller waits.
};

/// Recognizes copies by identifier, and delays by comparing the clocks of two VMs only with themselves: the message
/// with the shortest way so far counts as one without delay.
class ForwardGuard
{
public:
    ForwardStatus check(Instant now, const VmId &from, const ForwardRequest &forward);

private:
    struct Peer {
        std::int64_t minOffsetMs = 0; ///< Least (time of arrival - time of sending) in this and the last period.
        std::int64_t currentPeriodMinOffsetMs = 0; ///< The same in the present period alone, so that drift is followed.
        Instant periodStart;
        std::set<std::uint64_t> seenForwards;
        std::deque<std::pair<Instant, std::uint64_t>> arrivals;
    };

    static std::int64_t delayMs(Instant now, std::int64_t sentAtMs, Peer &peer, bool isNew);

    std::map<VmId, Peer> peers_;
};

} // namespace daisyrelay
