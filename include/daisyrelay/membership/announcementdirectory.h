// Orders the announcements of backend servers that arrive through different VMs.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// The result of processing an announcement.
enum class AnnouncementOutcome : std::uint8_t {
    Rejected,
    Old, ///< A newer announcement is known.
    Refreshed, ///< Only the position or the age has changed.
    Changed, ///< The server is new, or its role, limits, address or leaving state has changed.
};

/// Durations and bounds of the soft state.
struct AnnouncementTiming {
    Duration lifetime = std::chrono::seconds(3); ///< Time after which a silent server expires.
    /// Added for each known server, because the updates of many servers share the datagrams.
    Duration lifetimePerServer = std::chrono::milliseconds(50);
    Duration leavingLifetime = std::chrono::seconds(30); ///< How long the announcement of a server that left is kept.
    Duration silentRetention = std::chrono::seconds(30); ///< How long an expired server is kept.
    /// A server that left is accepted again after it was silent for this time.
    Duration minLeavingTime = std::chrono::seconds(3);
    std::size_t maxServers = 4096;
};

/// Another address that uses the id of a known server.
struct DuplicateServer {
    std::string host;
    std::uint16_t port = 0;
    Instant seenAt {};
};

/// The latest announcement of each backend server, ordered by generation, leaving, version and point.
class AnnouncementDirectory
{
public:
    AnnouncementDirectory(AnnouncementTiming timing, Counters &counters);

    /// Processes an announcement received from the server itself.
    AnnouncementOutcome recordAnnouncement(Instant now, BackendAnnouncement announcement);

    /// Processes an announcement forwarded by another VM.
    AnnouncementOutcome merge(Instant now, const BackendAnnouncement &announcement);

    /// Processes a position forwarded by another VM. \returns the outcome and the server.
    std::pair<AnnouncementOutcome, BackendId> merge(Instant now, const PositionUpdate &positionUpdate);

    /// Marks servers without recent announcements as silent and removes servers that have been silent for too long.
    /// \returns the servers that became silent.
    std::vector<BackendId> expire(Instant now);

    /// Returns the announcement with its age at \p now; empty if the server is unknown.
    [[nodiscard]] std::optional<BackendAnnouncement> current(Instant now, const BackendId &id) const;
    [[nodiscard]] std::optional<PositionUpdate> positionUpdate(Instant now, const BackendId &id) const;
    [[nodiscard]] std::vector<BackendAnnouncement> all(Instant now) const;
    [[nodiscard]] const std::map<BackendId, DuplicateServer> &duplicates() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct Known {
        BackendAnnouncement announcement;
        Instant lastSeenAt {};
        bool isSilent = false; ///< Expired, but kept for a while so that a position update alone can revive it.
    };

    AnnouncementOutcome set(Instant now, const BackendAnnouncement &announcement);
    void erase(const BackendId &id);
    [[nodiscard]] Duration lifetimeOf(const BackendAnnouncement &announcement) const;
    [[nodiscard]] AnnouncementOutcome reject(std::string_view reason);
    [[nodiscard]] AnnouncementOutcome recordKnown(Instant now, Known &known, BackendAnnouncement announcement);

    AnnouncementTiming timing_;
    Counters &counters_;
    std::map<BackendId, Known> known_;
    std::map<std::uint64_t, BackendId> identities_;
    std::map<BackendId, DuplicateServer> duplicates_;
    std::uint64_t hash_ = 0;
    std::size_t silentCount_ = 0;
};

} // namespace daisyrelay
