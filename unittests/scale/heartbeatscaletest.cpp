// Heartbeats of 3,000 backend servers to ten control VMs. The bounds come from the target: a heartbeat is answered
// within a second, and control uses 13 KB a second on each VM.
#include "daisyrelay/supervision.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

static constexpr std::size_t Servers = 3000;
static constexpr std::size_t ControlVms = 10;
static constexpr Duration HeartbeatInterval = 1200ms;
static constexpr std::uint64_t MaxBytesPerSecond = 13000;

TEST_GROUP(HeartbeatScale)
{
    /// What a control VM got since the last reset.
    struct ControlVm {
        VmId id;
        std::unique_ptr<HeartbeatResponder> responder; ///< Null at the leader.
        bool isDown = false;
        std::uint64_t heartbeats = 0;
        std::uint64_t forwarded = 0;
        std::uint64_t digestBytes = 0;
    };

    struct Server {
        BackendHeartbeat heartbeat;
        std::size_t controlVm = 0;
        Instant dueAt {};
    };

    Instant now { 100s };
    EventLog log { [](std::string_view) {}, 0 };
    Metrics metrics;
    Supervisor leader { log, metrics, 1 };
    std::vector<ControlVm> vms;
    std::vector<VmId> ids;
    std::vector<Server> servers;
    std::mt19937_64 random { 7 };
    std::uint64_t unanswered = 0;
    std::uint64_t digests = 0;
    std::uint64_t nextRequest = 1;
    std::uint64_t index = 0;

    void setup() override
    {
        for (std::size_t vm = 0; vm < ControlVms; ++vm) {
            vms.push_back({ VmId { "10.0.0." + std::to_string(vm) } });
            ids.push_back(vms.back().id);
            if (vm != 0) {
                vms.back().responder = std::make_unique<HeartbeatResponder>(metrics, vm);
            }
        }
        leader.onLeadership(now, true, 1, ids);
        for (std::size_t server = 0; server < Servers; ++server) {
            BackendRecord record { BackendId { "i-0000000" + std::to_string(1000 + server) }, 1700000000000,
                ServiceId { "service" + std::to_string(server / 9) },
                "10.2." + std::to_string(server / 200) + "." + std::to_string(server % 200), 8080, {}, 2, false,
                server % 9 == 0 };
            servers.push_back({ { record, 0 }, random() % ControlVms, now + HeartbeatInterval * server / Servers });
        }
    }

    void performActions()
    {
        for (const SupervisionAction &action : leader.takeActions()) {
            if (const auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
                leader.onCommitted(
                    now, { 1, ++index, encodeSupervisionCommand(proposal->command), LogEntryKind::Command });
            } else if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                leader.onProbe(now,
                    { probe->probeId, probe->backend.claimsPrimary ? ProbeResult::IsPrimary : ProbeResult::IsReplica });
            }
        }
    }

    VmId heartbeatVmOf(const BackendId &backend, const ControlVm &vm)
    {
        std::vector<VmId> candidates = vm.responder ? vm.responder->heartbeatVms() : leader.heartbeatVms(now);
        if (!vm.responder) {
            candidates.push_back(vm.id);
        }
        return chooseHeartbeatVm(backend, leader.state().backends().size(), vms[0].id, candidates);
    }

    void sendHeartbeat(Server & server)
    {
        ++server.heartbeat.sequence;
        server.dueAt += HeartbeatInterval;
        ControlVm &vm = vms[server.controlVm];
        if (vm.isDown) {
            ++unanswered;
            server.controlVm = random() % ControlVms;
            return;
        }
        ++vm.heartbeats;
        if (!vm.responder || !vm.responder->accept(now, leader.state(), server.heartbeat)) {
            vm.forwarded += vm.responder ? 1 : 0;
            leader.onRequest(now, nextRequest++, server.heartbeat);
            performActions();
        }
        const VmId next = heartbeatVmOf(server.heartbeat.record.id, vm);
        server.controlVm = static_cast<std::size_t>(std::find(ids.begin(), ids.end(), next) - ids.begin());
    }

    void advance(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 40ms) {
            for (Server &server : servers) {
                if (server.dueAt <= now) {
                    sendHeartbeat(server);
                }
            }
            for (ControlVm &vm : vms) {
                if (!vm.responder || vm.isDown) {
                    continue;
                }
                const std::optional<HeartbeatDigest> digest = vm.responder->takeDigest(now, vms[0].id, 1, false);
                if (!digest) {
                    continue;
                }
                ++digests;
                vm.digestBytes += encodeClusterMessage({ vm.id, *digest }).size();
                if (auto response = leader.onHeartbeatDigest(now, vm.id, *digest)) {
                    response->heartbeatVms.push_back(vms[0].id);
                    vm.responder->onResponse(vms[0].id, *response);
                }
            }
            leader.tick(now);
            performActions();
        }
    }

    void resetCounts()
    {
        digests = 0;
        unanswered = 0;
        for (ControlVm &vm : vms) {
            vm.heartbeats = vm.forwarded = vm.digestBytes = 0;
        }
    }
};

// All heartbeats went to the leader, 2,500 a second, which then answered neither them nor changes of configuration.
TEST(HeartbeatScale, LeaderGetsItsShareAndOneDigestASecondOfEachControlVm)
{
    constexpr std::uint64_t Seconds = 12;
    advance(6s);
    resetCounts();
    advance(std::chrono::seconds(Seconds));
    const std::uint64_t share = Servers * Seconds * 1s / HeartbeatInterval / ControlVms;
    std::uint64_t forwarded = 0;
    std::uint64_t heartbeats = 0;
    for (const ControlVm &vm : vms) {
        heartbeats += vm.heartbeats;
        CHECK(vm.heartbeats < 2 * share);
        CHECK(vm.digestBytes <= MaxBytesPerSecond * Seconds);
        forwarded += vm.forwarded;
    }
    CHECK_EQUAL(0U, forwarded);
    CHECK(heartbeats >= (share - 1) * ControlVms);
    CHECK(digests <= (ControlVms - 1) * (Seconds + 1));
    CHECK_EQUAL(Servers, leader.state().backends().size());
}

// A failed control VM must not be named again and again, and no server that it alone heard may be removed.
TEST(HeartbeatScale, ServersOfAFailedControlVmTurnToOthers)
{
    advance(6s);
    vms[3].isDown = true;
    advance(8s);
    resetCounts();
    advance(30s);
    CHECK_EQUAL(0U, unanswered);
    CHECK_EQUAL(Servers, leader.state().backends().size());
}
