// Heartbeats that other control VMs have answered.
#include "daisyrelay/supervision/supervisor.h"

#include <algorithm>

namespace daisyrelay {

std::optional<HeartbeatDigestResponse> Supervisor::onHeartbeatDigest(
    Instant now, const VmId &from, const HeartbeatDigest &digest)
{
    if (digest.term != term_) {
        metrics_.add(R"(heartbeat_digests_ignored_total{reason="term"})");
        return std::nullopt;
    }
    if (std::find(controlVms_.begin(), controlVms_.end(), from) == controlVms_.end()) {
        metrics_.add(R"(heartbeat_digests_ignored_total{reason="not-member"})");
        return std::nullopt;
    }
    ReportingControlVm &sender = reportingControlVms_[from];
    if (sender.runId == digest.runId && digest.sequence <= sender.sequence) {
        metrics_.add(R"(heartbeat_digests_ignored_total{reason="outdated"})");
        return std::nullopt;
    }
    sender = { digest.runId, digest.sequence, digest.isLeaving, now };
    for (const HeardBackend &heard : digest.heard) {
        const BackendRecord *known = state_.find(heard.backend);
        if (known == nullptr || known->startedAtMs != heard.startedAtMs) {
            metrics_.add("heartbeat_digest_unknown_servers_total");
            continue;
        }
        heartbeats_.recordAnswered(
            now, heard.backend, heard.startedAtMs, heard.sequence, std::chrono::milliseconds(heard.ageMs));
    }
    return HeartbeatDigestResponse { term_, digest.runId, digest.sequence, state_.topologyIndex(), heartbeatVms(now) };
}

std::vector<VmId> Supervisor::heartbeatVms(Instant now) const
{
    std::vector<VmId> vms;
    for (const auto &[vm, sender] : reportingControlVms_) {
        const bool isMember = std::find(controlVms_.begin(), controlVms_.end(), vm) != controlVms_.end();
        if (isMember && !sender.isLeaving && now - sender.lastDigestAt <= timing_.maxControlVmSilence) {
            vms.push_back(vm);
        }
    }
    return vms;
}

} // namespace daisyrelay
