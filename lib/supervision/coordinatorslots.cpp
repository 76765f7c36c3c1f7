#include "daisyrelay/supervision/coordinatorslots.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace daisyrelay {

/// Entries are forgotten after this time. Longer than any message can be delayed, since a delayed report of an ended
/// run must not pass as a report of a new one.
static constexpr Duration EntryRetention = std::chrono::minutes(10);

/// Bits of a table version below the term.
static constexpr unsigned CounterBits = 32;

/// Limits the memory for a process that restarts in a loop.
static constexpr std::size_t MaxRememberedRuns = 64;

CoordinatorSlots::CoordinatorSlots(EventLog &log, Metrics &metrics, SupervisionTiming timing)
    : log_(log), metrics_(metrics), timing_(timing)
{
    table_.holders.resize(CoordinatorSlotCount);
}

void CoordinatorSlots::reset(Instant now, Term term)
{
    term_ = term;
    unknownUntil_ = now + timing_.coordinatorLease + ClockDriftMargin;
    isTableComplete_ = false;
    table_.version = term << CounterBits;
    table_.holders.assign(CoordinatorSlotCount, VmId {});
    slots_ = {};
    entries_.clear();
    metrics_.set("coordinator_slots_assigned", 0);
}

void CoordinatorSlots::ignoreClaim(std::string_view reason, std::uint64_t count)
{
    if (count > 0) {
        metrics_.add("coordinator_claims_ignored_total{reason=\"" + std::string(reason) + "\"}", count);
    }
}

CoordinatorSlots::SlotSet CoordinatorSlots::validSlots(const std::vector<std::uint32_t> &slots)
{
    SlotSet valid;
    for (const std::uint32_t slot : slots) {
        if (slot < CoordinatorSlotCount) {
            valid.set(slot);
        } else {
            ignoreClaim("invalid");
        }
    }
    return valid;
}

// A report may be delayed until a newer process of the same entry has reported, also if this leader sees both for the
// first time. A run that has a table of this leader was alive after all runs that the leader saw earlier, so these have
// ended.
bool CoordinatorSlots::recordRun(const VmId &vm, Entry &entry, const EntryReport &report)
{
    if (std::find(entry.endedRuns.begin(), entry.endedRuns.end(), report.runId) != entry.endedRuns.end()) {
        return false;
    }
    const auto run = std::find_if(entry.runs.begin(), entry.runs.end(),
        [&report](const Run &candidate) { return candidate.runId == report.runId; });
    if (run == entry.runs.end()) {
        entry.runs.push_back({ report.runId, report.sequence });
        if (entry.runs.size() > MaxRememberedRuns) {
            entry.runs.erase(entry.runs.begin());
        }
        return true;
    }
    if (report.sequence <= run->lastSequence) {
        return false;
    }
    run->lastSequence = report.sequence;
    if (report.coordinators.tableVersion >> CounterBits == term_) {
        endFormerRuns(vm, entry, report.runId);
    }
    return true;
}

void CoordinatorSlots::endFormerRuns(const VmId &vm, Entry &entry, std::uint64_t runId)
{
    while (entry.runs.front().runId != runId) {
        const std::uint64_t endedRun = entry.runs.front().runId;
        for (Slot &slot : slots_) {
            endLease(vm, endedRun, slot);
        }
        entry.endedRuns.push_back(endedRun);
        if (entry.endedRuns.size() > MaxRememberedRuns) {
            entry.endedRuns.pop_front();
        }
        entry.runs.erase(entry.runs.begin());
    }
}

void CoordinatorSlots::endLease(const VmId &vm, std::uint64_t runId, Slot &slot)
{
    if (slot.leases.erase({ vm, runId }) > 0) {
        slot.isContested = false; // Set again while several entries remain.
    }
}

void CoordinatorSlots::recordReport(Instant now, const VmId &entry, const EntryReport &report)
{
    Entry &known = entries_[entry];
    if (!recordRun(entry, known, report)) {
        ignoreClaim("outdated");
        return;
    }
    known.zone = report.zone;
    known.isLeaving = report.isLeaving;
    known.lastReportAt = now;
    known.runId = report.runId;
    known.tableVersion = report.coordinators.tableVersion;
    known.held = validSlots(report.coordinators.held);
    known.released = validSlots(report.coordinators.released);
    const SlotSet contradictory = known.held & known.released;
    ignoreClaim("contradictory", contradictory.count());
    for (std::uint32_t index = 0; index < CoordinatorSlotCount; ++index) {
        Slot &slot = slots_.at(index);
        const ProcessId process { entry, report.runId };
        if (known.released.test(index) && !known.held.test(index)) {
            endLease(entry, report.runId, slot);
        } else if (known.held.test(index) && now < unknownUntil_) {
            // A former leader granted it. A grant of this leader may last longer.
            slot.leases[process] = std::max(slot.leases[process], unknownUntil_);
        } else if (known.held.test(index) && !slot.leases.contains(process)) {
            ignoreClaim("expired");
        }
    }
}

bool CoordinatorSlots::isAvailable(Instant now, const VmId &vm) const
{
    const auto found = entries_.find(vm);
    return found != entries_.end() && !found->second.isLeaving
        && now - found->second.lastReportAt <= timing_.maxEntrySilence;
}

bool CoordinatorSlots::isWilling(const VmId &vm, std::uint32_t slot) const
{
    const auto found = entries_.find(vm);
    return found != entries_.end() && !found->second.isLeaving && !found->second.released.test(slot);
}

void CoordinatorSlots::assign(Instant now, bool isNeeded)
{
    isNeeded_ = isNeeded;
    std::erase_if(entries_, [now](const auto &entry) { return now - entry.second.lastReportAt > EntryRetention; });
    for (std::uint32_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
        updateHolder(now, slot);
    }
    if (!isNeeded_) {
        return;
    }
    if (now >= unknownUntil_) {
        assignFreeSlots(now);
    }
    const bool haveAllHolders = std::none_of(
        table_.holders.begin(), table_.holders.end(), [](const VmId &holder) { return holder.value.empty(); });
    isTableComplete_ = isTableComplete_ || now >= unknownUntil_ || haveAllHolders;
}

void CoordinatorSlots::updateHolder(Instant now, std::uint32_t slot)
{
    Slot &state = slots_.at(slot);
    std::erase_if(state.leases, [now](const auto &lease) { return lease.second <= now; });
    std::set<VmId> owners;
    for (const auto &[process, expiresAt] : state.leases) {
        owners.insert(process.first);
    }
    state.isContested = owners.size() > 1 || (state.isContested && !owners.empty());
    const VmId holder = table_.holders.at(slot);
    if (!isNeeded_) {
        setHolder(now, slot, {}, "not-needed");
    } else if (state.isContested) {
        setHolder(now, slot, {}, "contested");
    } else if (!owners.empty()) {
        const VmId &owner = *owners.begin();
        const bool mayHold = isWilling(owner, slot);
        setHolder(now, slot, mayHold ? owner : VmId {}, mayHold ? "reported" : "given-up");
    } else if (!isAvailable(now, holder) || !isWilling(holder, slot)) {
        setHolder(now, slot, {}, isWilling(holder, slot) ? "silent" : "given-up");
    }
}

// Prefers entries with the fewest slots, then zones with the fewest. The order of the others depends on the slot, so
// that few slots move if an entry is added while there is no holder.
void CoordinatorSlots::assignFreeSlots(Instant now)
{
    std::map<VmId, std::size_t> slotsOfEntry;
    std::map<ZoneId, std::size_t> slotsOfZone;
    std::vector<std::uint32_t> freeSlots;
    for (std::uint32_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
        const VmId &holder = table_.holders.at(slot);
        if (const auto entry = entries_.find(holder); entry != entries_.end()) {
            ++slotsOfEntry[holder];
            ++slotsOfZone[entry->second.zone];
        } else if (slots_.at(slot).leases.empty()) {
            freeSlots.push_back(slot);
        }
    }
    for (const std::uint32_t slot : freeSlots) {
        const VmId *best = nullptr;
        std::tuple<std::size_t, std::size_t, std::uint64_t> bestKey;
        for (const auto &[vm, entry] : entries_) {
            if (!isAvailable(now, vm) || !isWilling(vm, slot)) {
                continue;
            }
            const std::tuple key(slotsOfEntry[vm], slotsOfZone[entry.zone], combineHashes(stableHash(vm.value), slot));
            if (best == nullptr || key < bestKey) {
                best = &vm;
                bestKey = key;
            }
        }
        if (best != nullptr) {
            ++slotsOfEntry[*best];
            ++slotsOfZone[entries_.at(*best).zone];
            setHolder(now, slot, *best, "assigned");
        }
    }
}

void CoordinatorSlots::setHolder(Instant now, std::uint32_t slot, const VmId &holder, std::string_view reason)
{
    VmId &current = table_.holders.at(slot);
    if (current == holder) {
        return;
    }
    ++table_.version;
    log_.log(now, "coordinator.changed",
        { { "slot", std::uint64_t { slot } }, { "entry", std::string_view(holder.value) },
            { "before", std::string_view(current.value) }, { "reason", reason }, { "version", table_.version } });
    metrics_.add("coordinator_changes_total{reason=\"" + std::string(reason) + "\"}");
    current = holder;
    metrics_.set("coordinator_slots_assigned",
        std::count_if(table_.holders.begin(), table_.holders.end(),
            [](const VmId &candidate) { return !candidate.value.empty(); }));
}

CoordinatorUpdate CoordinatorSlots::respond(Instant now, const VmId &entry, std::uint64_t runId)
{
    CoordinatorUpdate update;
    const auto found = entries_.find(entry);
    if (!isNeeded_ || found == entries_.end() || found->second.runId != runId) {
        return update;
    }
    const Entry &known = found->second;
    if (isTableComplete_ && known.tableVersion < table_.version) {
        update.table.push_back(table_);
    }
    const ProcessId process { entry, runId };
    for (std::uint32_t index = 0; index < CoordinatorSlotCount; ++index) {
        Slot &slot = slots_.at(index);
        const bool isOtherAlive = std::any_of(slot.leases.begin(), slot.leases.end(),
            [&process, now](const auto &lease) { return lease.first != process && lease.second > now; });
        // While leases of former leaders are unknown, authority is only extended. The entry may have lost it to another
        // one since it first reported the slot.
        const bool isKnown = now >= unknownUntil_ || known.held.test(index);
        if (table_.holders.at(index) != entry || !isWilling(entry, index) || isOtherAlive || !isKnown) {
            continue;
        }
        slot.leases[process] = std::max(slot.leases[process], now + timing_.coordinatorLease + ClockDriftMargin);
        update.granted.push_back(index);
    }
    if (!update.granted.empty()) {
        update.lease = std::chrono::duration_cast<std::chrono::milliseconds>(timing_.coordinatorLease);
    }
    return update;
}

const CoordinatorTable &CoordinatorSlots::table() const
{
    return table_;
}

} // namespace daisyrelay
