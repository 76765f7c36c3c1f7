// What the connections of an entry hold when a drain ends.
#pragma once

#include <cstddef>

namespace daisyrelay {

/// Sizes in bytes.
struct DrainBacklog {
    std::size_t callerConnections = 0; ///< Open connections of callers.
    std::size_t unsentBytes = 0; ///< Responses that callers' sockets have not accepted.
    std::size_t unreadBytes = 0; ///< Bytes of callers that arrived and were not processed.
    std::size_t unsentPeerBytes = 0; ///< Messages that other VMs' sockets have not accepted.
};

} // namespace daisyrelay
