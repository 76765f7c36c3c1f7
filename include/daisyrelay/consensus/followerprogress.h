// Replication state that a leader keeps for each other member.
#pragma once

#include "daisyrelay/base.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisyrelay {

/// Replication state of one follower, as seen by the leader.
struct FollowerProgress {
    std::uint64_t incarnation = 0; ///< Incarnation of the member that this state belongs to.
    std::uint64_t nextIndex = 1; ///< Index of the next entry to send.
    std::uint64_t matchIndex = 0; ///< Highest index that the follower has synced.
    /// Id of the unacknowledged message with entries or a snapshot chunk; zero if there is none.
    std::uint64_t inFlightRequestId = 0;
    Instant inFlightSentAt {}; ///< When the message in flight was sent.
    std::uint64_t snapshotIndex = 0; ///< Index of the snapshot being transferred; zero if there is none.
    std::uint64_t snapshotOffset = 0; ///< Offset of the next snapshot chunk, in bytes.
    Instant firstSentAt = Instant::max(); ///< When the first message was sent to the follower.
    Instant lastAckedSentAt = Instant::min(); ///< Send time of the latest acknowledged message.

    /// Records the send time of request \p requestId. Forgets the oldest request beyond a fixed number.
    void recordSend(std::uint64_t requestId, Instant now)
    {
        constexpr std::size_t MaxTrackedRequests = 64;
        sentRequests_.emplace_back(requestId, now);
        firstSentAt = std::min(firstSentAt, now);
        if (sentRequests_.size() > MaxTrackedRequests) {
            sentRequests_.pop_front();
        }
    }

    /// Records the response to \p requestId. The response confirms contact as of the time when the request was sent.
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
    std::deque<std::pair<std::uint64_t, Instant>> sentRequests_; ///< Ids and send times of unacknowledged requests.
};

} // namespace daisyrelay
