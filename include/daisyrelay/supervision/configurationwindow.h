// Configurations that were sent to entries and are not confirmed yet.
#pragma once

#include "daisyrelay/base.h"

#include <map>

namespace daisyrelay {

/// Bounds the bytes in flight. Otherwise whole configurations to hundreds of entries wait at the leader's link for
/// longer than the time after which they are sent again, and the queue grows without end.
class ConfigurationWindow
{
public:
    [[nodiscard]] bool isInFlight(Instant now, const VmId &entry) const;

    /// Tells whether a configuration of \p bytes may be sent now.
    [[nodiscard]] bool hasRoomFor(std::size_t bytes) const;

    void onSent(Instant now, const VmId &entry, std::size_t bytes);
    void onConfirmed(Instant now, const VmId &entry);

    /// Removes what has not been confirmed in time, so that it is sent again.
    void removeExpired(Instant now);

    void reset();

private:
    struct InFlight {
        std::size_t bytes = 0;
        Instant sentAt {};
    };

    void remove(const VmId &entry);

    std::map<VmId, InFlight> inFlight_;
    std::size_t bytes_ = 0;
    std::size_t size_ = MinSize; ///< Grows while confirmations arrive soon.
    Duration retryInterval_ = MinRetryInterval; ///< Follows the time that confirmations take.

    /// Crosses a link of 2 Mbit/s in two seconds, half of the time in which a configuration must be in force.
    static constexpr std::size_t MinSize = std::size_t { 512 } * 1024;
    static constexpr Duration MinRetryInterval = std::chrono::seconds(1);
};

} // namespace daisyrelay
