// The membership protocol: discovers VMs and backend servers and disseminates updates of both within a traffic budget
// that does not depend on the size of the system.
#pragma once

#include "daisyrelay/membership/announcementdirectory.h"
#include "daisyrelay/membership/disseminationqueue.h"
#include "daisyrelay/membership/gossipactions.h"
#include "daisyrelay/membership/membertable.h"
#include "daisyrelay/membership/prober.h"
#include "daisyrelay/membership/replayguard.h"
#include "daisyrelay/membership/servicedigests.h"

namespace daisyrelay {

/// The address at which a VM that is not known yet is contacted first.
struct GossipSeed {
    VmId id;
    std::string host;
    std::uint16_t port = 0;
};

struct GossipOptions {
    MemberRecord self;
    std::vector<GossipSeed> seeds;
    std::uint64_t boot = 0; ///< Higher than at any earlier start of this VM.
    std::uint64_t randomSeed = 0;
    MembershipTiming timing;
    AnnouncementTiming announcements;
};

/// A state machine without clock and sockets; the driver passes the time in and carries out the actions.
class GossipCore
{
public:
    GossipCore(GossipOptions options, Counters &counters);

    void tick(Instant now);
    void receive(Instant now, const GossipMessage &message);
    void receiveSync(Instant now, const VmId &from, const MembershipSync &sync);

    /// Processes an announcement that a backend server sent to this VM.
    AnnouncementOutcome recordAnnouncement(Instant now, const BackendAnnouncement &announcement);

    /// Probes \p vm immediately after a TCP connection to it broke.
    void onPeerConnectionLost(const VmId &vm);

    void setConfigVersion(std::uint64_t version);
    void startDraining(Instant now);

    /// Notifies some VMs that this VM stops; they forward the notification.
    void leave(Instant now);

    [[nodiscard]] std::vector<GossipAction> takeActions();
    [[nodiscard]] const MemberTable &members() const;
    [[nodiscard]] const AnnouncementDirectory &announcements() const;
    [[nodiscard]] const ServiceDigests &digests() const;

private:
    struct RelayedPing {
        VmId requester;
        std::uint64_t probe = 0;
        VmId target;
    };

    void publishMemberChanges();
    void applyOutcome(Instant now, AnnouncementOutcome outcome, const BackendId &id);
    void onPingRequest(Instant now, const GossipMessage &message);
    void onAck(Instant now, const GossipMessage &message);
    void compareTables(Instant now, const GossipMessage &message);
    void performProbeStep(Instant now, const ProbeStep &step);
    void reconnect(Instant now);
    void disseminate(Instant now);
    void send(Instant now, const MemberRecord &to, GossipMessage message, std::size_t maxUpdateBytes);
    void sendTables(Instant now, const VmId &to, bool expectsResponse);
    [[nodiscard]] std::optional<MemberRecord> choosePeer();

    GossipOptions options_;
    Counters &counters_;
    MemberTable members_;
    AnnouncementDirectory announcements_;
    ServiceDigests digests_;
    DisseminationQueue updates_;
    Prober prober_;
    ReplayGuard replays_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, RelayedPing> relayed_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextRelay_ = 1;
    std::uint64_t configVersion_ = 0;
    Instant nextDisseminationAt_ {};
    Instant nextReconnectAt_ {};
    Instant nextSyncAt_ {};
    Instant tablesDifferSince_ {};
    bool hasJoined_ = false;
    std::vector<GossipAction> actions_;
};

} // namespace daisyrelay
