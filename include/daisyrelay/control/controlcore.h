// The decisions of the control leader: who holds a lease, which database may acknowledge writes, and which
// configuration is in force. On control VMs that do not lead it only applies the log.
#pragma once

#include "daisyrelay/control/controlactions.h"
#include "daisyrelay/control/controlstate.h"

#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

/// Durations of leases and failure detection.
struct ControlTiming {
    Duration lease = std::chrono::milliseconds(1000);
    Duration drift = std::chrono::milliseconds(50); ///< Added to each lease by the side that waits for its end.
    Duration announcementSilence = std::chrono::milliseconds(1500); ///< A primary silent for longer is replaced.
    Duration unreachable = std::chrono::milliseconds(200); ///< A primary that entries fail to reach for longer.
    Duration survey = std::chrono::milliseconds(300); ///< How long databases have to tell their positions.
};

/// Holds no clock, socket or file.
class ControlCore
{
public:
    explicit ControlCore(VmId self, ControlTiming timing = {});

    /// Tells whether this VM leads and may answer, and in which consensus term.
    void onLeadership(Instant now, bool leading, Term leaderTerm);

    void onCommitted(Instant now, const LogEntry &entry);

    /// Replaces the replicated state by that of a snapshot. \returns an error if \p bytes are damaged.
    Expected<void> restoreSnapshot(Instant now, std::string_view bytes);

    /// Returns the replicated state as it is after the entries committed so far.
    [[nodiscard]] std::string encodeSnapshot() const;

    void onLeaseRequest(Instant now, const LeaseRequest &request);
    void onAnnouncement(Instant now, const BackendAnnouncement &announcement);
    void onConfigChange(Instant now, const VmId &from, const ConfigChangeRequest &request);

    /// \p point is empty if the database did not answer.
    void onSurveyed(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    /// \p point is empty if the promotion failed.
    void onPromoted(Instant now, const BackendId &backend, Term term, std::optional<LogPoint> point);

    void tick(Instant now);

    [[nodiscard]] std::vector<ControlAction> takeActions();

    [[nodiscard]] const ControlState &state() const;

    /// Returns the entries that hold a live lease, with the configuration version each has in force.
    [[nodiscard]] std::map<VmId, std::uint64_t> liveEntries(Instant now) const;

private:
    struct EntrySession {
        ZoneId zone;
        Instant leaseUntil {};
        std::uint64_t confirmedVersion = 0;
        std::uint64_t configVersion = 0;
        std::map<BackendId, BackendView> views;
    };

    struct KnownBackend {
        BackendAnnouncement announcement;
        Instant heardAt {};
        Instant followSentAt {};
    };

    enum class FailoverStage : std::uint8_t {
        Revoking,
        Surveying,
        Promoting,
    };

    struct Failover {
        FailoverStage stage = FailoverStage::Revoking;
        Term term = 0;
        std::uint64_t revokedInVersion = 0; ///< Table version without a primary; zero until it is committed.
        Instant deadline {};
        std::map<BackendId, std::optional<LogPoint>> surveyed;
        std::set<BackendId> asked;
        BackendId candidate;
    };

    void startFailover(Instant now, const GroupKey &group);
    void advanceFailover(Instant now, const GroupKey &group, Failover &failover);
    void promoteBest(Instant now, const GroupKey &group, Failover &failover);
    void followPrimaries(Instant now);
    void assignHomes(Instant now);
    void rebuildTable(Instant now);
    void pushTable(Instant now);
    void grant(Instant now, const VmId &to, std::uint64_t nonce);
    [[nodiscard]] bool isSuspect(Instant now, const GroupTerm &term) const;
    [[nodiscard]] bool allRevoked(Instant now, std::uint64_t version) const;
    [[nodiscard]] std::optional<VmId> pickHome(Instant now, const BackendAnnouncement &announcement) const;

    VmId self_;
    ControlTiming timing_;
    ControlState state_;
    bool leading_ = false;
    Instant leadingSince_ {};
    LeaseTable table_;
    std::map<VmId, EntrySession> entries_;
    std::map<BackendId, KnownBackend> backends_;
    std::map<GroupKey, Failover> failovers_;
    std::map<std::string, std::pair<VmId, std::uint64_t>> waitingChanges_;
    std::vector<ControlAction> actions_;
};

} // namespace daisyrelay
