// The messages between two VMs over TCP.
#pragma once

#include "daisyrelay/wire/backendannouncement.h"
#include "daisyrelay/wire/controlmessages.h"
#include "daisyrelay/wire/gossipmessage.h"
#include "daisyrelay/wire/keymessages.h"
#include "daisyrelay/wire/leasemessages.h"
#include "daisyrelay/wire/raftmessages.h"
#include "daisyrelay/wire/statement.h"

#include <variant>

namespace daisyrelay {

/// Requests that the home of a backend server, or the entry that holds a transaction, runs a statement.
struct ForwardRequest {
    std::uint64_t forwardId = 0; ///< Unique across restarts of the sender.
    std::int64_t sentAtMs = 0; ///< Clock of the sender, so only comparable with its other messages.
    BackendId backend;
    StatementRequest request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(forwardId, sentAtMs, backend, request);
    }
};

/// The response to a ForwardRequest.
struct ForwardResponse {
    std::uint64_t forwardId = 0;
    bool hasSucceeded = false;
    StatementResult result; ///< Valid if succeeded is true.
    ErrorKind error = ErrorKind::Internal; ///< Valid if succeeded is false.
    std::string detail;
    std::int64_t retryAfterMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(forwardId, hasSucceeded, result, error, detail, retryAfterMs);
    }
};

using PeerPayload = std::variant<LeaseRequest, LeaseGrant, RaftMessage, ConfigChangeRequest, ConfigChangeResponse,
    BackendAnnouncement, ForwardRequest, ForwardResponse, KeyClaim, KeyClaimResponse, KeyCopyRequest, KeyCopyChunk,
    MembershipSync>;

/// The envelope of each message.
struct PeerMessage {
    VmId from;
    PeerPayload payload;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(from, payload);
    }
};

} // namespace daisyrelay
