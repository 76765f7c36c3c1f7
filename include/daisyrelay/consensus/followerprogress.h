// What a leader knows about one other member.
#pragma once

#include "daisyrelay/base.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisyrelay {

struct FollowerProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t nextIndex = 1; ///< The first index to send.
    std::uint64_t matchIndex = 0; ///< Stored and synced there up to this index.
    std::uint64_t inFlightRequestId
        = 0; ///< The message with entries or a chunk that is not answered yet; zero if none.
    Instant inFlightSentAt {};
    std::uint64_t snapshotIndex = 0; ///< The snapshot that is being sent; zero if none.
    std::uint64_t snapshotOffset = 0;
    Instant firstSentAt = Instant::max(); ///< When it was first sent anything.
    Instant lastAckedSentAt = Instant::min(); ///< When the latest message that was answered had been sent.

    void recordSend(std::uint64_t requestId, Instant now)
    {
        constexpr std::size_t MaxTrackedRequests = 64;
        sentRequests_.emplace_back(requestId, now);
        firstSentAt = std::min(firstSentAt, now);
        if (sentRequests_.size() > MaxTrackedRequests) {
            sentRequests_.pop_front();
        }
    }

    /// Takes the answer to \p round as proof of contact at the time that round was sent.
    void recordResponse(std::uint64_t requestId)
    {
        while (!sentRequests_.empty() && sentRequests_.front().first <= requestId) {
            if (sentRequests_.front().first == requestId) {
                lastAckedSentAt = sentRequests_.front().second;
            }
            sentRequests_.pop_front();
        }
        if (requestId >= inFlightRequestId) {
            inFlightRequestId = 0;
        }
    }

private:
    std::deque<std::pair<std::uint64_t, Instant>> sentRequests_;
};

} // namespace daisyrelay
