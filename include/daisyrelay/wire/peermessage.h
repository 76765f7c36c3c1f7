// The envelope of every TCP message between two VMs.
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

/// Asks the home of a database, or the holder of a transaction, to run a statement.
struct ForwardRequest {
    std::uint64_t forwardId = 0; ///< Unique over all runs of the sender.
    std::int64_t sentAtMs = 0; ///< On the sender's own clock; only differences between two messages of it count.
    BackendId backend;
    StatementRequest request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(forwardId, sentAtMs, backend, request);
    }
};

/// The answer to a ForwardRequest.
struct ForwardResponse {
    std::uint64_t forwardId = 0;
    bool succeeded = false;
    StatementResult result; ///< Valid if succeeded.
    ErrorKind error = ErrorKind::Internal; ///< Valid unless succeeded.
    std::string detail;
    std::int64_t retryAfterMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(forwardId, succeeded, result, error, detail, retryAfterMs);
    }
};

using PeerPayload = std::variant<LeaseRequest, LeaseGrant, RaftMessage, ConfigChangeRequest, ConfigChangeResponse,
    BackendAnnouncement, ForwardRequest, ForwardResponse, KeyClaim, KeyClaimResponse, KeyCopyRequest, KeyCopyChunk,
    MembershipSync>;

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
