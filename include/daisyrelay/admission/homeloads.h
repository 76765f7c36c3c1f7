// What an entry knows about the load of the homes that run its statements.
#pragma once

#include "daisyrelay/wire.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace daisyrelay {

/// Why the load that a home reported was ignored.
enum class LoadReportFault : std::uint8_t {
    None,
    Duplicate, ///< The same report or an earlier one of the same run.
    OtherRun, ///< From a run of the home that a later one has replaced.
    Invalid, ///< A wait is negative or longer than a minute.
    Late, ///< Took too long to arrive.
};

std::string_view loadReportFaultName(LoadReportFault fault);

/// Loads of the homes, as they reported them with their responses, and the statements that this entry has in flight
/// there. A home is kept for each backend server that it serves, since its queues are separate.
class HomeLoads
{
public:
    HomeLoads();

    /// Records a statement sent to \p home for \p backend.
    void recordSent(const VmId &home, const BackendId &backend);

    /// Records that a statement got its response or was given up.
    void recordFinished(const VmId &home, const BackendId &backend);

    /// Records any message of \p home.
    void recordHeard(Instant now, const VmId &home);

    /// Records the load that \p home reported with the response to a statement sent at \p sentAt.
    LoadReportFault recordLoad(
        Instant now, const VmId &home, const BackendId &backend, Instant sentAt, const HomeLoad &load);

    /// Records that \p home did not run a statement for which it has no connection.
    void recordWrongHome(Instant now, const VmId &home, const BackendId &backend);

    /// Records that the connection to \p home is broken, or that the home is silent. The home is avoided for a while;
    /// then single statements are sent there until it responds.
    void recordUnreachable(Instant now, const VmId &home);

    /// Returns whether a probe should be sent to \p home because nothing has arrived from it for \p delay after a
    /// statement was sent there at \p sentAt, and records the probe. A statement may take long, a probe may not.
    bool takeProbe(Instant now, const VmId &home, Instant sentAt, Duration delay);

    /// Returns whether nothing has arrived from \p home for \p timeout after a probe.
    [[nodiscard]] bool isSilent(Instant now, const VmId &home, Duration timeout) const;

    [[nodiscard]] bool isAvoided(Instant now, const VmId &home, const BackendId &backend) const;

    /// Returns the expected wait of a statement of \p priority, or nothing if no recent report tells.
    [[nodiscard]] std::optional<Duration> expectedWait(
        Instant now, const VmId &home, const BackendId &backend, std::uint32_t priority) const;

    /// Chooses among \p homes of \p backend, except those in \p tried; returns null if all of them are avoided. The
    /// preferred home of \p workspace is chosen unless another one is expected to be faster by more than the cost of a
    /// new connection. Without a workspace, \p tieBreaker decides among homes with equal waits.
    [[nodiscard]] const VmId *choose(Instant now, const BackendId &backend, std::span<const VmId> homes,
        const WorkspaceId &workspace, std::uint32_t priority, std::uint64_t tieBreaker,
        const std::set<VmId> &tried) const;

    /// Returns the shortest expected wait if no home of \p backend can start a statement of \p priority within
    /// \p available; otherwise nothing.
    [[nodiscard]] std::optional<Duration> waitIfHopeless(Instant now, const BackendId &backend,
        std::span<const VmId> homes, std::uint32_t priority, Duration available) const;

    /// Records that a home ran a statement.
    void recordServed();

    /// Returns whether a statement that a home rejected for load may be sent to another home, and records that it is.
    /// Such attempts are limited to a fraction of the statements that homes ran: in an overload of all homes they would
    /// double the load of the links.
    bool takeRetry();

    [[nodiscard]] std::size_t inFlight(const VmId &home, const BackendId &backend) const;

private:
    struct Queue {
        std::size_t inFlight = 0; ///< Statements of this entry without a response.
        std::optional<HomeLoad> load;
        Instant loadAt {};
        Instant avoidUntil {};
    };

    struct Home {
        Instant heardAt {};
        std::optional<Instant> probedAt;
        std::optional<Instant> unansweredSince; ///< When the first probe was sent after the last message of the home.
        Instant avoidUntil {};
        std::uint64_t runId = 0; ///< Run of the newest report of any of the home's queues.
        Instant runSentAt {}; ///< When the newest statement was sent that this run answered.
        std::map<BackendId, Queue> queues;
    };

    [[nodiscard]] const Queue *find(const VmId &home, const BackendId &backend) const;

    std::map<VmId, Home> homes_;
    double retryBudget_;
};

} // namespace daisyrelay
