// What is still to be told to other VMs, and what of it fits into the next datagram.
#pragma once

#include "daisyrelay/membership/announcementdirectory.h"
#include "daisyrelay/membership/membertable.h"
#include "daisyrelay/membership/rumorqueue.h"
#include "daisyrelay/membership/servicedigests.h"

namespace daisyrelay {

/// Fills datagrams within a budget of bytes: changes of VMs first, then of backend servers, then positions.
class NewsQueue
{
public:
    NewsQueue(const MemberTable &members, const AnnouncementDirectory &announcements, ServiceDigests &digests);

    void add(const VmId &id);
    void add(const BackendId &id);

    /// Adds the position of a server, at most once in a while for each.
    void addPosition(Instant now, const BackendId &id);

    void remove(const VmId &id);
    void remove(const BackendId &id);

    /// Raises the number of bytes that may be sent.
    void allow(std::size_t bytes);
    [[nodiscard]] std::size_t allowance() const;

    /// Appends news for \p to, at most \p newsBytes and never beyond the size of a datagram.
    void fill(Instant now, const MemberRecord &to, GossipMessage &message, std::size_t newsBytes);

    /// Returns whether \p member keeps the full detail of a server.
    [[nodiscard]] bool serves(const MemberRecord &member, const BackendAnnouncement &announcement) const;

    /// Returns whether all changes have been sent often enough.
    [[nodiscard]] bool isQuiet() const;

private:
    /// The bytes that are left in one datagram.
    struct Room {
        std::size_t left = 0;
        std::size_t used = 0;

        bool take(std::size_t size);
    };

    void fillMembers(GossipMessage &message, Room &room);
    void fillBackends(Instant now, const MemberRecord &to, GossipMessage &message, Room &room);
    void fillPositions(Instant now, const MemberRecord &to, GossipMessage &message, Room &room);
    [[nodiscard]] std::size_t timesToSend() const;

    const MemberTable &members_;
    const AnnouncementDirectory &announcements_;
    ServiceDigests &digests_;
    RumorQueue<VmId> memberNews_;
    RumorQueue<BackendId> backendNews_;
    RumorQueue<BackendId> positions_;
    std::map<BackendId, Instant> positionAddedAt_;
    std::size_t allowance_ = 0;
};

} // namespace daisyrelay
