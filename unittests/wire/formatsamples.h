// Sample messages, commands and stored values. Their encodings of each format version are in goldenbytes.h.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <string>

namespace daisyrelay {

inline BackendRecord sampleBackend()
{
    return { BackendId { "b1" }, 1700000000123, ServiceId { "s" }, "10.0.0.1", 8080, ZoneId { "z" }, 2, true, false };
}

inline RouteConfiguration sampleConfiguration()
{
    RouteConfiguration configuration;
    configuration.version = 300;
    configuration.services.push_back({ ServiceId { "s" }, 16, 1 });
    DatabaseRoute route;
    route.database = "db";
    route.service = ServiceId { "s" };
    route.timeout = std::chrono::milliseconds(1500);
    configuration.routes.push_back(route);
    return configuration;
}

/// An update without the fields whose types differ between versions.
inline EntryUpdate sampleUpdate()
{
    EntryUpdate update;
    update.leaderTerm = 3;
    update.sequence = 200;
    update.runId = 77;
    update.configVersion = 300;
    update.configuration = "bytes";
    update.topology = Topology { 9, 1, { sampleBackend() }, { { ServiceId { "s" }, BackendId { "b1" }, 8 } }, {} };
    update.quotas.push_back({ BackendId { "b1" }, 4 });
    update.controlVms.push_back(VmId { "c1" });
    update.reportIntervalMs = 200;
    update.number = 5;
    update.topologyIndex = 9;
    update.withdrawn.push_back({ ServiceId { "t" }, 6 });
    update.coordinators.entryCount = 12;
    return update;
}

inline SupervisionSnapshot sampleSnapshot()
{
    SupervisionSnapshot snapshot;
    snapshot.configuration = sampleConfiguration();
    snapshot.configurationSource = "text";
    snapshot.topologyIndex = 9;
    snapshot.backends.push_back(sampleBackend());
    snapshot.primaries.push_back({ ServiceId { "s" }, BackendId { "b1" }, 8 });
    snapshot.pendingPromotions.push_back({ ServiceId { "t" }, BackendId { "b2" }, 7 });
    return snapshot;
}

/// Returns the encoded samples whose types are the same in all versions, by name.
inline std::map<std::string, std::string> commonSamples()
{
    std::map<std::string, std::string> samples;
    const auto addMessage = [&samples](const std::string &name, ClusterPayload payload) {
        samples[name] = encodeClusterMessage({ VmId { "v1" }, std::move(payload) });
    };
    const auto addCommand = [&samples](const std::string &name, const SupervisionCommand &command) {
        samples[name] = encodeSupervisionCommand(command);
    };
    RaftMessage raft;
    raft.from = VmId { "c1" };
    raft.term = 4;
    raft.entries.push_back({ 4, 10, "command", LogEntryKind::Command });
    raft.zone = ZoneId { "z" };
    addMessage("RaftMessage", raft);
    EntryReport report;
    report.name = "entry";
    report.runId = 77;
    report.heldQuotas.push_back({ BackendId { "b1" }, 4 });
    report.primaries.push_back({ ServiceId { "s" }, BackendId { "b1" }, true, false });
    report.released.push_back({ ServiceId { "t" }, 6 });
    report.coordinators.held.push_back(2);
    addMessage("EntryReport", report);
    addMessage("LeaderHint", LeaderHint { VmId { "c1" }, { VmId { "c2" } } });
    addMessage("ForwardedControlRequest", ForwardedControlRequest { 5, BackendHeartbeat { sampleBackend(), 12 } });
    addMessage(
        "ForwardedControlResponse", ForwardedControlResponse { 5, { ControlStatus::Done, "body", VmId { "c1" } } });
    ForwardedStatement statement;
    statement.sessionId = 8;
    statement.route = sampleConfiguration().routes.front();
    statement.values.emplace_back("name", "value");
    statement.lastWrite = LogPoint { 3, 120 };
    addMessage("ForwardedStatement", statement);
    addMessage("ForwardedStatementResponse", ForwardedStatementResponse {});
    addMessage("ForwardedSessionEnd", ForwardedSessionEnd { 8, 9 });
    addMessage("PositionRequest", PositionRequest { ServiceId { "s" }, 4 });
    addMessage("PositionResponse", PositionResponse {});
    addMessage("RateLimitRequest", RateLimitRequest {});
    addMessage("RateLimitGrant", RateLimitGrant {});
    addMessage("HeartbeatDigest", HeartbeatDigest { 3, 77, 2, false, { { BackendId { "b1" }, 1, 2, 3 } } });
    addMessage("HeartbeatDigestResponse", HeartbeatDigestResponse { 3, 77, 2, 9, { VmId { "c1" } } });
    addMessage("HomeProbe", HomeProbe { 8, 9 });
    addMessage("HomeProbeResponse", HomeProbeResponse { 8, 9, true });
    addCommand("PutConfiguration", PutConfiguration { sampleConfiguration(), "text" });
    addCommand("RecordBackend", RecordBackend { sampleBackend() });
    addCommand("RemoveBackend", RemoveBackend { BackendId { "b1" }, 12 });
    addCommand("DecidePromotion", DecidePromotion { ServiceId { "s" }, BackendId { "b1" }, 5 });
    addCommand("RecordPrimary", RecordPrimary { ServiceId { "s" }, BackendId { "b1" }, true });
    const Membership membership { { { VmId { "c1" }, 11, true, ZoneId { "z" } } } };
    samples["Membership"] = encodeMembership(membership);
    samples["RaftSnapshot"] = encodeRaftSnapshot({ 9, 3, membership, "state" });
    samples["LogRecord"] = encodeLogRecord({ HardState { 4, VmId { "c1" }, 11, false }, 7, raft.entries });
    return samples;
}

} // namespace daisyrelay
