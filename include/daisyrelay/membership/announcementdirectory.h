// Orders the announcements of backend servers that arrive through different VMs.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// What became of an announcement.
enum class AnnouncementOutcome : std::uint8_t {
    Refused,
    Old, ///< Something newer is known.
    Refreshed, ///< Only the position or the age is new.
    Changed, ///< A new server, or a new role, limit, address or leaving.
};

/// Durations and bounds of the soft state.
struct AnnouncementTiming {
    Duration lifetime = std::chrono::seconds(3); ///< Of a silent server.
    Duration lifetimePerServer = std::chrono::milliseconds(50); ///< Added for each known server, as news takes turns.
    Duration leavingLifetime = std::chrono::seconds(30); ///< How long a server that left is remembered.
    Duration silentRetention = std::chrono::seconds(30); ///< How long a silent server is remembered.
    Duration minLeavingTime = std::chrono::seconds(3); ///< A server that left is taken back after this silence.
    std::size_t maxServers = 4096;
};

/// Another address that uses the id of a known server.
struct DuplicateServer {
    std::string host;
    std::uint16_t port = 0;
    Instant seenAt {};
};

/// The newest announcement of each backend server. Records are ordered by generation, leaving, version and point.
class AnnouncementDirectory
{
public:
    AnnouncementDirectory(AnnouncementTiming timing, Counters &counters);

    /// Takes in an announcement heard from the server itself.
    AnnouncementOutcome recordAnnouncement(Instant now, BackendAnnouncement announcement);

    /// Takes in an announcement spread by another VM.
    AnnouncementOutcome merge(Instant now, const BackendAnnouncement &announcement);

    /// Takes in a position spread by another VM. \returns the outcome and the server.
    std::pair<AnnouncementOutcome, BackendId> merge(Instant now, const PositionUpdate &positionUpdate);

    /// Finds the servers that have become silent. \returns them.
    std::vector<BackendId> expire(Instant now);

    /// Returns the announcement as it is sent on at \p now; empty if the server is unknown.
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
        bool isSilent = false; ///< Expired, but kept for a while so that a position alone can revive it.
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
