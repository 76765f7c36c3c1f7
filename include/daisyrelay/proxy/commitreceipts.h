// Which commits of a primary may be acknowledged to callers where commits wait for a replica.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/wire.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// The commits of one service that the primary has acknowledged and this entry has not.
///
/// The primary acknowledges a commit once any replica has received it, which may be one that control does not know or
/// one that has forgotten a pause. A promotion keeps only the commits of replicas that control has surveyed. A commit
/// is therefore acknowledged to its caller once a replica has confirmed its receipt that every survey since must have
/// asked: its record is committed, and it has not restarted since control last was not replacing the primary.
class CommitReceipts
{
public:
    explicit CommitReceipts(Duration maxRecordAge);

    /// Records that control knew all replicas of this entry's topology, and was not replacing the primary, at some time
    /// after \p reportSentAt.
    void confirmReplicas(Instant reportSentAt);

    /// Tells whether a receipt counts that arrives over a connection opened at \p openedAt. A later survey pauses the
    /// server process at its other end, or a successor with the same log.
    [[nodiscard]] bool counts(Instant now, Instant openedAt) const;

    /// Adds a commit of \p session that is covered by \p point of the primary's log.
    void await(SessionId session, const LogPoint &point);

    /// Removes the commit of \p session, if any.
    void remove(SessionId session);

    /// Removes all commits and returns their sessions. Called when another server has become the primary: a replica may
    /// still have commits that the promotion has rolled back.
    std::vector<SessionId> takeAll();

    [[nodiscard]] bool isEmpty() const;

    /// Removes the commits that a replica with the log up to \p received has, and returns their sessions. A replica
    /// that follows another term than that of a commit may have rolled it back.
    std::vector<SessionId> takeReceived(const LogPoint &received);

private:
    Duration maxRecordAge_; ///< Replicas whose record may have been removed since do not count.
    std::optional<Instant> confirmedAt_;
    std::map<SessionId, LogPoint> commits_;
};

} // namespace daisyrelay
