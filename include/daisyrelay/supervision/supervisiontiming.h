// Durations by which the supervisor decides.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

struct SupervisionTiming {
    Duration commitTimeout = std::chrono::milliseconds(800); ///< A change not committed by then is answered as unknown;
                                                             ///< operators ask elsewhere after a second.
    Duration probeInterval = std::chrono::milliseconds(100); ///< Between two probes of a primary.
    Duration promotedProbeInterval
        = std::chrono::milliseconds(15); ///< Between two probes of a backend server being promoted.
    Duration probeTimeout = std::chrono::milliseconds(250); ///< A probe waits for no slot, so it is answered at once.
    Duration maxPrimarySilence
        = std::chrono::milliseconds(380); ///< A primary without proof of life for longer is replaced.
    Duration refusedTimeout = std::chrono::milliseconds(150); ///< The same, if its host refuses connections.
    Duration deposedTimeout = std::chrono::milliseconds(300); ///< The same, if it says that it does not lead.
    Duration unreachableTimeout = std::chrono::milliseconds(1000); ///< The same, if most entries can not reach it.
    Duration surveyTimeout = std::chrono::milliseconds(200); ///< How long backend servers have to tell their positions.
    Duration promotionCallTimeout = std::chrono::milliseconds(1000); ///< The platform's answer is given up after this.
    Duration promotionRetryDelay = std::chrono::milliseconds(150); ///< Before a promotion that failed is tried again.
    Duration promotionEffectTimeout
        = std::chrono::milliseconds(3000); ///< An accepted promotion has to take effect within this.
    Duration adoptionTimeout = std::chrono::milliseconds(3000); ///< How long a primary has to show up after a start.
    Duration maxBackendSilence = std::chrono::milliseconds(4500); ///< Three and more heartbeats missing: not promoted.
    Duration backendExpiry = std::chrono::seconds(30); ///< A backend server silent for longer is forgotten.
    Duration maxEntrySilence
        = std::chrono::milliseconds(1500); ///< The word of an entry silent for longer does not count.
    Duration entryExpiry = std::chrono::seconds(6); ///< Its connections are given to others after this.
    Duration homesInterval = std::chrono::milliseconds(250); ///< Between two checks of who holds connections.
    Duration homesDelay = std::chrono::milliseconds(2500); ///< A new leader leaves homes as they are for so long: all
                                                           ///< entries have found it by then.
    Duration quotaDelay = std::chrono::milliseconds(700); ///< A new leader hears all entries before it grants.
    Duration pushRetryInterval
        = std::chrono::milliseconds(1000); ///< What an entry did not confirm is sent again after this.
    Duration minReportInterval = std::chrono::milliseconds(200); ///< Of each entry, while there are few.
    Duration minReportSpacing
        = std::chrono::milliseconds(5); ///< With many entries, one report in this time altogether.
};

/// Connections to each backend server that no entry gets: for the leader's probes and for those that linger.
constexpr std::uint32_t ReservedConnections = 2;

/// Connections to a backend server that each entry must be able to hold; with fewer, a few entries hold all of them.
constexpr std::size_t MinDirectConnections = 2;

/// Entries that pass statements on to a primary which others can not reach.
constexpr std::size_t RelaysPerPrimary = 3;

/// Entries that hold the connections of one backend server then. One may be lost.
constexpr std::size_t HomesPerBackend = 2;

} // namespace daisyrelay
