#include "daisyrelay/supervision/heartbeatresponder.h"

#include <algorithm>

namespace daisyrelay {

HeartbeatResponder::HeartbeatResponder(Metrics &metrics, std::uint64_t runId, SupervisionTiming timing)
    : metrics_(metrics), timing_(timing), runId_(runId)
{
}

bool HeartbeatResponder::isCurrent(Instant now, const SupervisionState &state) const
{
    return currentSince_ && now - *currentSince_ <= timing_.maxLeaderSilence
        && state.topologyIndex() >= leaderTopologyIndex_;
}

bool HeartbeatResponder::accept(Instant now, const SupervisionState &state, const BackendHeartbeat &heartbeat)
{
    const BackendRecord &record = heartbeat.record;
    const BackendRecord *known = state.find(record.id);
    // The leader acknowledges draining, because only it knows which updates were sent to the entries.
    if (known == nullptr || record.isDraining || *known != record || !isCurrent(now, state)) {
        metrics_.add("heartbeats_forwarded_total");
        return false;
    }
    Heard &heard = heard_[record.id];
    if (std::pair(record.startedAtMs, heartbeat.sequence) < std::pair(heard.startedAtMs, heard.sequence)) {
        metrics_.add("heartbeats_forwarded_total");
        return false;
    }
    heard = { record.startedAtMs, heartbeat.sequence, now };
    metrics_.add("heartbeats_answered_total");
    return true;
}

std::optional<HeartbeatDigest> HeartbeatResponder::takeDigest(
    Instant now, const VmId &leader, Term term, bool isLeaving)
{
    if (leader != leader_ || term != term_) {
        leader_ = leader;
        term_ = term;
        sent_.clear();
        acknowledgedAt_.reset();
        lastSentAt_ = {};
    }
    const Duration interval = sent_.empty() ? timing_.digestInterval : timing_.digestRetryInterval;
    if (lastSentAt_ != Instant {} && now - lastSentAt_ < interval) {
        return std::nullopt;
    }
    std::erase_if(heard_, [this, now](const auto &heard) { return now - heard.second.at > timing_.maxBackendSilence; });
    HeartbeatDigest digest { term, runId_, ++lastSequence_, isLeaving, {} };
    for (const auto &[backend, heard] : heard_) {
        if (!acknowledgedAt_ || heard.at >= *acknowledgedAt_) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - heard.at);
            digest.heard.push_back(
                { backend, heard.startedAtMs, heard.sequence, static_cast<std::uint32_t>(age.count()) });
        }
    }
    // A response to an older digest would not make the state current.
    while (!sent_.empty() && now - sent_.front().at > timing_.maxLeaderSilence) {
        sent_.pop_front();
    }
    sent_.push_back({ digest.sequence, now });
    lastSentAt_ = now;
    return digest;
}

void HeartbeatResponder::onResponse(const VmId &from, const HeartbeatDigestResponse &response)
{
    const auto sent = std::find_if(sent_.begin(), sent_.end(),
        [&response](const SentDigest &candidate) { return candidate.sequence == response.sequence; });
    if (from != leader_ || response.term != term_ || response.runId != runId_ || sent == sent_.end()) {
        metrics_.add("heartbeat_digest_responses_ignored_total");
        return;
    }
    acknowledgedAt_ = sent->at;
    currentSince_ = sent->at;
    sent_.erase(sent_.begin(), sent + 1);
    leaderTopologyIndex_ = response.topologyIndex;
    heartbeatVms_ = response.heartbeatVms;
}

const std::vector<VmId> &HeartbeatResponder::heartbeatVms() const
{
    return heartbeatVms_;
}

VmId chooseHeartbeatVm(const BackendId &backend, std::size_t servers, const VmId &leader, const std::vector<VmId> &vms)
{
    if (servers <= MaxBackendsAtLeader || vms.empty()) {
        return leader;
    }
    const std::uint64_t key = stableHash(backend.value);
    return *std::max_element(vms.begin(), vms.end(), [key](const VmId &left, const VmId &right) {
        return std::pair(combineHashes(stableHash(left.value), key), left)
            < std::pair(combineHashes(stableHash(right.value), key), right);
    });
}

} // namespace daisyrelay
