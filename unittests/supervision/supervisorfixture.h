// Fixture of the supervisor tests.
#pragma once

#include "daisyrelay/supervision.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

namespace daisyrelay {

using namespace std::chrono_literals;

/// A leader whose commits the test controls, with simulated backend servers.
struct SupervisorFixture : Utest {
    Instant now { 100s };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    Supervisor supervisor { log, metrics, 1 };
    std::uint64_t index = 0;
    std::vector<SupervisionCommand> proposed;
    std::map<std::uint64_t, ControlResult> responses;
    std::vector<PromoteThroughPlatform> promotions;
    std::vector<EntryUpdate> updates;
    std::set<std::string> unresponsive;
    std::set<std::string> refusing;
    std::set<std::string> unresponsiveToPauses; ///< Servers that respond to no Pause and no Resume.
    std::set<std::string> late; ///< Servers whose probes the test answers itself.
    std::set<std::string> steppedDown; ///< Primaries that follow nobody yet.
    std::map<std::string, LogPoint> positions;
    std::map<std::string, Term> ownTerms; ///< Of servers whose log ends in an earlier term than theirs.
    std::vector<ProbeKind> probeKinds;
    std::vector<ProbeBackend> probes;
    std::string primaryName = "b0";
    bool commitsImmediately = true;
    std::uint64_t nextRequest = 1;

    void setup() override
    {
        supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    }

    void performActions()
    {
        for (std::vector<SupervisionAction> actions = supervisor.takeActions(); !actions.empty();
             actions = supervisor.takeActions()) {
            for (SupervisionAction &action : actions) {
                if (auto *propose = std::get_if<ProposeSupervision>(&action); propose != nullptr) {
                    proposed.push_back(propose->command);
                    if (commitsImmediately) {
                        commitNext();
                    }
                } else if (auto *response = std::get_if<SendControlResponse>(&action); response != nullptr) {
                    CHECK(!responses.contains(response->requestId));
                    responses[response->requestId] = response->result;
                } else if (auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                    respondToProbe(*probe);
                } else if (auto *promote = std::get_if<PromoteThroughPlatform>(&action); promote != nullptr) {
                    promotions.push_back(*promote);
                } else if (auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
                    updates.push_back(update->update);
                }
            }
        }
    }

    void commitNext()
    {
        const SupervisionCommand command = proposed.front();
        proposed.erase(proposed.begin());
        supervisor.onCommitted(now, { 1, ++index, encodeSupervisionCommand(command), LogEntryKind::Command });
    }

    void respondToProbe(const ProbeBackend &probe)
    {
        probeKinds.push_back(probe.kind);
        probes.push_back(probe);
        const std::string &name = probe.backend.id.value;
        if (late.contains(name)) {
            return;
        }
        ProbeOutcome outcome;
        outcome.probeId = probe.probeId;
        if (refusing.contains(name)) {
            outcome.result = ProbeResult::Refused;
        } else if (unresponsive.contains(name)
            || ((probe.kind == ProbeKind::Pause || probe.kind == ProbeKind::Resume)
                && unresponsiveToPauses.contains(name))) {
            outcome.result = ProbeResult::NoResponse;
        } else if (probe.kind == ProbeKind::Role) {
            outcome.result = leads(name) ? ProbeResult::IsPrimary : ProbeResult::IsReplica;
        } else {
            if (probe.kind == ProbeKind::StepDown && probe.pauseTerm > positions[name].term) {
                steppedDown.insert(name);
            }
            outcome.result = ProbeResult::Responded;
            outcome.received = positions[name];
            outcome.term = positions[name].term;
            outcome.ownTerm = ownTerms.contains(name) ? ownTerms[name] : positions[name].term;
            outcome.claimsPrimary = leads(name);
        }
        supervisor.onProbe(now, outcome);
    }

    bool leads(const std::string &name) const
    {
        return name == primaryName && !steppedDown.contains(name);
    }

    std::uint64_t sendRequest(const ControlRequest &request)
    {
        const std::uint64_t id = nextRequest++;
        supervisor.onRequest(now, id, request);
        performActions();
        return id;
    }

    std::uint64_t putConfiguration(std::uint64_t version, std::uint32_t syncReplicas = 0)
    {
        PutConfiguration change;
        change.configuration.version = version;
        change.configuration.services.push_back({ ServiceId { "s" }, 16, syncReplicas });
        change.source = "v" + std::to_string(version);
        return sendRequest(change);
    }

    std::uint64_t sendHeartbeat(
        const std::string &name, std::uint64_t sequence, std::int64_t startedAtMs = 1, bool draining = false)
    {
        BackendHeartbeat heartbeat;
        heartbeat.record = { BackendId { name }, startedAtMs, ServiceId { "s" }, "10.0.0." + name.substr(1), 80, {}, 2,
            draining, leads(name) };
        heartbeat.sequence = sequence;
        return sendRequest(heartbeat);
    }

    /// Advances the clock by \p duration with a tick every 10 ms.
    void advance(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 10ms) {
            supervisor.tick(now);
            performActions();
        }
    }

    void startService(std::uint32_t syncReplicas = 0)
    {
        putConfiguration(1, syncReplicas);
        for (const char *name : { "b0", "b1", "b2" }) {
            sendHeartbeat(name, 1);
        }
        advance(300ms);
    }

    std::string primary() const
    {
        const PrimaryRecord *record = supervisor.state().primaryOf(ServiceId { "s" });
        return record == nullptr ? "" : record->backend.value;
    }
};

} // namespace daisyrelay
