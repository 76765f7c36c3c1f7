// What is still to be told to other VMs, and what of it fits into the next datagram.
#pragma once

#include "daisyrelay/membership/announcementdirectory.h"
#include "daisyrelay/membership/membertable.h"
#include "daisyrelay/membership/rumorqueue.h"
#include "daisyrelay/membership/servicedigests.h"

namespace daisyrelay {

/// Fills datagrams within a budget of bytes: changes of VMs first, then of backend servers, then positions.
class DisseminationQueue
{
public:
    DisseminationQueue(const MemberTable &members, const AnnouncementDirectory &announcements, ServiceDigests &digests);

    void add(const VmId &id);
    void add(const BackendId &id);

    /// Adds the position of a server, at most once in a while for each.
    void addPosition(Instant now, const BackendId &id);

    void remove(const VmId &id);
    void remove(const BackendId &id);

    /// Raises the number of bytes that may be sent.
    void addAllowance(std::size_t bytes);
    [[nodiscard]] std::size_t allowance() const;

    /// Appends news for \p to, at most \p maxUpdateBytes and never beyond the size of a datagram.
    void fill(Instant now, const MemberRecord &to, GossipMessage &message, std::size_t maxUpdateBytes);

    /// Returns whether \p member keeps the full detail of a server.
    [[nodiscard]] bool keepsFullDetail(const MemberRecord &member, const BackendAnnouncement &announcement) const;

    /// Returns whether all changes have been sent often enough.
    [[nodiscard]] bool hasNoPendingChanges() const;

private:
    /// The bytes that are left in one datagram.
    struct DatagramSpace {
        std::size_t remaining = 0;
        std::size_t used = 0;

        bool reserve(std::size_t size);
    };

    void fillMembers(GossipMessage &message, DatagramSpace &space);
    void fillBackends(Instant now, const MemberRecord &to, GossipMessage &message, DatagramSpace &space);
    void fillPositions(Instant now, const MemberRecord &to, GossipMessage &message, DatagramSpace &space);
    [[nodiscard]] std::size_t transmissionLimit() const;

    const MemberTable &members_;
    const AnnouncementDirectory &announcements_;
    ServiceDigests &digests_;
    RumorQueue<VmId> memberUpdates_;
    RumorQueue<BackendId> backendUpdates_;
    RumorQueue<BackendId> positionUpdates_;
    std::map<BackendId, Instant> positionAddedAt_;
    std::size_t allowance_ = 0;
};

} // namespace daisyrelay
