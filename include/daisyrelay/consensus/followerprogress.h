// What a leader knows about one other member.
#pragma once

#include "daisyrelay/base.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisyrelay {

struct FollowerProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t next = 1; ///< The first index to send.
    std::uint64_t match = 0; ///< Stored and synced there up to this index.
    std::uint64_t waitingRound = 0; ///< The message with entries or a chunk that is not answered yet; zero if none.
    Instant waitingSince {};
    std::uint64_t snapshotIndex = 0; ///< The snapshot that is being sent; zero if none.
    std::uint64_t snapshotOffset = 0;
    Instant firstSent = Instant::max(); ///< When it was first sent anything.
    Instant heardSent = Instant::min(); ///< When the latest message that was answered had been sent.

    void recordSend(std::uint64_t round, Instant now)
    {
        constexpr std::size_t MostRounds = 64;
        sent_.emplace_back(round, now);
        firstSent = std::min(firstSent, now);
        if (sent_.size() > MostRounds) {
            sent_.pop_front();
        }
    }

    /// Takes the answer to \p round as proof of contact at the time that round was sent.
    void recordAnswer(std::uint64_t round)
    {
        while (!sent_.empty() && sent_.front().first <= round) {
            if (sent_.front().first == round) {
                heardSent = sent_.front().second;
            }
            sent_.pop_front();
        }
        if (round >= waitingRound) {
            waitingRound = 0;
        }
    }

private:
    std::deque<std::pair<std::uint64_t, Instant>> sent_;
};

} // namespace daisyrelay
