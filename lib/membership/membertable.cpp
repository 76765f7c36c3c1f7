#include "daisyrelay/membership/membertable.h"

#include "stablehash.h"

#include <cmath>

namespace daisyrelay {

static constexpr std::size_t MaxNameLength = 64;

static bool isLive(const MemberRecord &record)
{
    return record.state == MemberState::Alive || record.state == MemberState::Suspect;
}

static std::uint64_t hashOf(const MemberRecord &record)
{
    // Dead VMs are left out, because VMs remove them at different times.
    if (!isLive(record)) {
        return 0;
    }
    return StableHash().add(record.id.value).add(record.incarnation).add(record.isDraining ? 1 : 0).value();
}

static bool isValid(const MemberRecord &record)
{
    return !record.id.empty() && record.id.value.size() <= MaxNameLength && record.zone.value.size() <= MaxNameLength
        && record.region.size() <= MaxNameLength && record.httpHost.size() <= MaxNameLength
        && record.peerHost.size() <= MaxNameLength && record.peerPort != 0 && record.state <= MemberState::Left;
}

MemberTable::MemberTable(const MemberRecord &self, const MembershipTiming &timing, Counters &counters)
    : selfId_(self.id), timing_(timing), counters_(counters)
{
    set({}, self);
    changes_.clear();
}

void MemberTable::set(Instant now, const MemberRecord &record)
{
    KnownMember &known = members_[record.id];
    if (!known.record.id.empty()) {
        hash_ ^= hashOf(known.record);
        liveCount_ -= isLive(known.record) ? 1 : 0;
    }
    known.record = record;
    known.changedAt = now;
    hash_ ^= hashOf(record);
    liveCount_ += isLive(record) ? 1 : 0;
    regions_[record.zone] = record.region;
    changes_.push_back(record);
}

bool MemberTable::merge(Instant now, const MemberRecord &record)
{
    if (!isValid(record)) {
        counters_.add("membership.refused.absurd");
        return false;
    }
    if (record.id == selfId_) {
        return refute(now, record);
    }
    const auto found = members_.find(record.id);
    if (found == members_.end()) {
        if (members_.size() >= timing_.maxMembers) {
            counters_.add("membership.refused.too-many");
            return false;
        }
        set(now, record);
        return true;
    }
    const MemberRecord &known = found->second.record;
    const auto order = [](const MemberRecord &value) { return std::pair(value.incarnation, value.state); };
    if (order(record) <= order(known)) {
        return false;
    }
    set(now, record);
    return true;
}

bool MemberTable::refute(Instant now, const MemberRecord &record)
{
    const MemberRecord &own = members_.at(selfId_).record;
    const bool needsRefutation = record.incarnation >= own.incarnation && record != own;
    if (!needsRefutation || own.state == MemberState::Left) {
        return false;
    }
    counters_.add("membership.refuted");
    MemberRecord refutation = own;
    refutation.incarnation = record.incarnation + 1;
    set(now, refutation);
    return true;
}

void MemberTable::suspect(Instant now, const VmId &id)
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.record.state != MemberState::Alive) {
        return;
    }
    counters_.add("membership.suspected");
    MemberRecord record = found->second.record;
    record.state = MemberState::Suspect;
    set(now, record);
}

void MemberTable::setConfigVersion(const VmId &id, std::uint64_t version)
{
    if (const auto found = members_.find(id); found != members_.end()) {
        found->second.configVersion = version;
    }
}

void MemberTable::setSelf(Instant now, MemberState state, bool draining)
{
    MemberRecord record = self();
    record.state = state;
    record.isDraining = draining;
    ++record.incarnation;
    set(now, record);
}

Duration MemberTable::suspicionTime() const
{
    // The number of rounds that an update needs grows with the logarithm of the system size.
    const double factor = std::max(1.0, std::log10(static_cast<double>(liveCount_)));
    return std::chrono::duration_cast<Duration>(timing_.suspicionTimeout * factor);
}

void MemberTable::tick(Instant now)
{
    for (auto member = members_.begin(); member != members_.end();) {
        const KnownMember &known = member->second;
        if (known.record.state == MemberState::Suspect && known.changedAt + suspicionTime() <= now) {
            MemberRecord record = known.record;
            record.state = MemberState::Dead;
            counters_.add("membership.died");
            set(now, record);
        }
        if (!isLive(known.record) && member->first != selfId_ && known.changedAt + timing_.deadRetention <= now) {
            removed_.push_back(member->first);
            member = members_.erase(member);
        } else {
            ++member;
        }
    }
}

const MemberRecord &MemberTable::self() const
{
    return members_.at(selfId_).record;
}

const KnownMember *MemberTable::find(const VmId &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

const std::map<VmId, KnownMember> &MemberTable::all() const
{
    return members_;
}

const std::string &MemberTable::regionOf(const ZoneId &zone) const
{
    static const std::string Unknown;
    const auto found = regions_.find(zone);
    return found == regions_.end() ? Unknown : found->second;
}

std::size_t MemberTable::liveCount() const
{
    return liveCount_;
}

std::uint64_t MemberTable::hash() const
{
    return hash_;
}

std::vector<MemberRecord> MemberTable::takeChanges()
{
    return std::exchange(changes_, {});
}

std::vector<VmId> MemberTable::takeRemoved()
{
    return std::exchange(removed_, {});
}

} // namespace daisyrelay
