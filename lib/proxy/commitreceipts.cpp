#include "daisyrelay/proxy/commitreceipts.h"

#include <algorithm>
#include <utility>

namespace daisyrelay {

CommitReceipts::CommitReceipts(Duration maxRecordAge) : maxRecordAge_(maxRecordAge)
{
}

void CommitReceipts::confirmReplicas(Instant reportSentAt)
{
    confirmedAt_ = std::max(confirmedAt_.value_or(reportSentAt), reportSentAt);
}

bool CommitReceipts::counts(Instant now, Instant openedAt) const
{
    return confirmedAt_ && openedAt < *confirmedAt_ && now - *confirmedAt_ < maxRecordAge_;
}

void CommitReceipts::await(SessionId session, const LogPoint &point)
{
    commits_[session] = point;
}

void CommitReceipts::remove(SessionId session)
{
    commits_.erase(session);
}

std::vector<SessionId> CommitReceipts::takeAll()
{
    std::vector<SessionId> sessions;
    for (const auto &[session, point] : std::exchange(commits_, {})) {
        sessions.push_back(session);
    }
    return sessions;
}

bool CommitReceipts::isEmpty() const
{
    return commits_.empty();
}

std::vector<SessionId> CommitReceipts::takeReceived(const LogPoint &received)
{
    std::vector<SessionId> sessions;
    std::erase_if(commits_, [&](const auto &commit) {
        const auto &[session, point] = commit;
        const bool isReceived = point.term == received.term && point.position <= received.position;
        if (isReceived) {
            sessions.push_back(session);
        }
        return isReceived;
    });
    return sessions;
}

} // namespace daisyrelay
