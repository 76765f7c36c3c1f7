// The entries that coordinate the rate limits of workspaces: one holder for each coordinator slot.
#pragma once

#include "daisyrelay/supervision/supervisiontiming.h"
#include "daisyrelay/telemetry.h"
#include "daisyrelay/wire.h"

#include <array>
#include <bitset>
#include <deque>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace daisyrelay {

/// Assigns the coordinator slots to entries so that no two entries ever have authority for the same slot.
///
/// A holder's authority is a lease. The leader counts it from its response plus ClockDriftMargin. The entry counts it
/// from the sending of the report that is responded to, and ignores the grant of a slot if
/// - the response is not to a report of its own run,
/// - it listed the slot as released in this report or a later one, or
/// - it listed the slot as held in this report, and its authority has expired since.
class CoordinatorSlots
{
public:
    CoordinatorSlots(EventLog &log, Metrics &metrics, SupervisionTiming timing);

    /// Forgets all entries, holders and leases. Called when this control VM becomes the leader of \p term; former
    /// leaders may have granted leases until \p now.
    void reset(Instant now, Term term);

    /// Records the coordinator part of a report. Outdated reports and claims without a lease change nothing.
    void recordReport(Instant now, const VmId &entry, const EntryReport &report);

    /// Withdraws slots from entries that are no longer available and assigns the slots for which nobody has authority.
    /// All holders are withdrawn unless \p isNeeded.
    void assign(Instant now, bool isNeeded);

    /// Returns the response to the last report of \p entry, which must be of the run \p runId, and records the lease
    /// that it grants. The response is empty while no slots are needed.
    [[nodiscard]] CoordinatorUpdate respond(Instant now, const VmId &entry, std::uint64_t runId);

    [[nodiscard]] const CoordinatorTable &table() const;

private:
    using SlotSet = std::bitset<CoordinatorSlotCount>;

    /// Identifies a process: the entry and its run.
    using ProcessId = std::pair<VmId, std::uint64_t>;

    struct Slot {
        std::map<ProcessId, Instant> leases; ///< Processes that may have authority, and until when.
        bool isContested = false; ///< Several entries had leases, and none of them has given it up yet.
    };

    struct Run {
        std::uint64_t runId = 0;
        std::uint64_t lastSequence = 0;
    };

    struct Entry {
        ZoneId zone;
        bool isLeaving = false;
        Instant lastReportAt {};
        std::uint64_t runId = 0; ///< Run of the last report.
        std::uint64_t tableVersion = 0;
        SlotSet held;
        SlotSet released;
        std::vector<Run> runs; ///< Runs that may not have ended, in the order in which this leader first saw them.
        std::deque<std::uint64_t> endedRuns;
    };

    /// \returns whether the report is new and its run is not known to have ended.
    bool recordRun(const VmId &vm, Entry &entry, const EntryReport &report);
    void endFormerRuns(const VmId &vm, Entry &entry, std::uint64_t runId);
    void endLease(const VmId &vm, std::uint64_t runId, Slot &slot);
    [[nodiscard]] SlotSet validSlots(const std::vector<std::uint32_t> &slots);
    void ignoreClaim(std::string_view reason, std::uint64_t count = 1);
    /// Withdraws or returns the slot according to its leases.
    void updateHolder(Instant now, std::uint32_t slot);
    void assignFreeSlots(Instant now);
    [[nodiscard]] bool isAvailable(Instant now, const VmId &vm) const;
    /// Tells whether \p vm wants the slot: it neither leaves nor released the slot in its last report.
    [[nodiscard]] bool isWilling(const VmId &vm, std::uint32_t slot) const;
    void setHolder(Instant now, std::uint32_t slot, const VmId &holder, std::string_view reason);

    EventLog &log_;
    Metrics &metrics_;
    SupervisionTiming timing_;
    bool isNeeded_ = false;
    Term term_ = 0;
    Instant unknownUntil_ {}; ///< Leases of former leaders have expired by then.
    /// Whether the table replaces those of former leaders, whose holders may still have authority.
    bool isTableComplete_ = false;
    CoordinatorTable table_;
    std::array<Slot, CoordinatorSlotCount> slots_;
    std::map<VmId, Entry> entries_;
};

} // namespace daisyrelay
