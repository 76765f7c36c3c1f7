// The messages of the membership protocol: datagrams over UDP, and whole tables over TCP.
#pragma once

#include "daisyrelay/wire/backendannouncement.h"
#include "daisyrelay/wire/memberrecord.h"

#include <vector>

namespace daisyrelay {

/// The position of a backend server whose announcement the receiver knows already.
struct PositionUpdate {
    std::uint64_t identity = 0; ///< Hash of the id, the address and the generation of the announcement.
    std::uint64_t version = 0;
    LogPoint point;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(identity, version, point, ageMs);
    }
};

/// A summary of the databases of one service in one region, for VMs that do not serve it.
struct ServiceDigest {
    std::string region;
    ServiceId service;
    std::uint32_t groups = 0;
    std::uint32_t databases = 0;
    std::uint32_t leaving = 0;
    std::uint64_t hash = 0;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(region, service, groups, databases, leaving, hash, ageMs);
    }
};

enum class GossipKind : std::uint8_t {
    Ping,
    PingRequest, ///< Asks the receiver to ping the target.
    Ack,
    Updates, ///< Carries news only.
};

/// One datagram. Every kind carries news.
struct GossipMessage {
    VmId to;
    std::uint64_t boot = 0; ///< Names the run of the sending process; a later run has a higher one.
    std::uint64_t sequence = 0; ///< Within the boot, for the detection of replays.
    GossipKind kind = GossipKind::Updates;
    std::uint64_t probe = 0; ///< Joins an ack to its ping.
    VmId target; ///< Of a PingRequest.
    MemberRecord sender;
    std::uint64_t configVersion = 0; ///< The configuration in force on the sender.
    std::uint64_t membersHash = 0;
    std::uint64_t backendsHash = 0;
    std::vector<MemberRecord> members;
    std::vector<BackendAnnouncement> backends;
    std::vector<PositionUpdate> positionUpdates;
    std::vector<ServiceDigest> digests;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(to, boot, sequence, kind, probe, target, sender, configVersion, membersHash, backendsHash, members,
            backends, positionUpdates, digests);
    }
};

/// The whole tables of one VM, exchanged over TCP when it joins and when hashes stay different.
struct MembershipSync {
    bool expectsResponse = false;
    std::vector<MemberRecord> members;
    std::vector<BackendAnnouncement> backends;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(expectsResponse, members, backends);
    }
};

} // namespace daisyrelay
