// Runs many membership cores in one process, without sockets, and prints the cost per node. Shows how the cost grows
// beyond the number of real processes that one machine can run.
#include "daisyrelay/membership.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <iostream>
#include <malloc.h>
#include <random>

#include <gflags/gflags.h>

DEFINE_uint32(nodes, 7, "Number of VMs");
DEFINE_uint32(databases, 9, "Number of backend servers");
DEFINE_uint32(regions, 1, "Number of regions over which the VMs and backend servers are spread");
DEFINE_uint32(seconds, 20, "Length of the run in seconds of simulated time");
DEFINE_uint32(loss, 0, "Percentage of datagrams that are lost");
DEFINE_uint64(seed, 1, "Seed of the random choices");

using namespace daisyrelay;

namespace {

constexpr unsigned ZonesPerRegion = 3;
constexpr unsigned ControlVms = 5;
constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
constexpr std::size_t UdpHeaderBytes = 28;
constexpr std::size_t AuthenticationTagBytes = 16;

class ScaleRun
{
public:
    ScaleRun();

    void run(Duration time);

    /// Stops one VM. Returns the times in seconds until half and all of the other VMs consider the VM dead, or -1 if
    /// that does not happen within the simulated minute.
    std::pair<double, double> crashOneNode();

    Counters counters;
    std::uint64_t sentBytes = 0;
    std::uint64_t syncCount = 0;

    [[nodiscard]] std::uint64_t maxSentBytesPerNode() const;
    void resetTraffic();
    [[nodiscard]] double knownBackendShare() const;

private:
    MemberRecord makeRecord(unsigned number) const;
    BackendAnnouncement makeAnnouncement(unsigned number) const;
    void announceAll();
    void performActions(unsigned number);
    void deliverMessages();

    struct Datagram {
        unsigned to = 0;
        GossipMessage message;
    };

    std::mt19937_64 random_ { FLAGS_seed };
    Instant now_ { std::chrono::hours(1) };
    Instant nextAnnounceAt_ { now_ };
    std::vector<std::unique_ptr<GossipCore>> cores_;
    std::vector<std::uint64_t> sentBytesByNode_;
    std::deque<Datagram> datagrams_;
    std::deque<std::pair<std::pair<unsigned, unsigned>, MembershipSync>> syncs_;
    Position position_ = 1;
};

} // namespace

MemberRecord ScaleRun::makeRecord(unsigned number) const
{
    const unsigned region = number % FLAGS_regions;
    MemberRecord record;
    record.id = VmId { "vm" + std::to_string(number) };
    record.region = "region-" + std::to_string(region);
    record.zone
        = ZoneId { "zone-" + std::to_string(region) + "-" + std::to_string(number / FLAGS_regions % ZonesPerRegion) };
    record.isEntry = true;
    record.isControlVm = number < std::min(ControlVms, FLAGS_nodes / 2);
    record.httpHost = record.peerHost = "10.120." + std::to_string(number / 250) + "." + std::to_string(number % 250);
    record.httpPort = 7000;
    record.peerPort = static_cast<std::uint16_t>(number + 1);
    record.incarnation = 1764800000000;
    return record;
}

BackendAnnouncement ScaleRun::makeAnnouncement(unsigned number) const
{
    const unsigned region = number % FLAGS_regions;
    const unsigned indexInRegion = number / FLAGS_regions;
    BackendAnnouncement result;
    result.id = BackendId { "database-" + std::to_string(number) };
    result.group
        = { ServiceId { "service-" + std::to_string(region) }, GroupId { "g" + std::to_string(indexInRegion / 3) } };
    result.zone = ZoneId { "zone-" + std::to_string(region) + "-" + std::to_string(indexInRegion % ZonesPerRegion) };
    result.host = "10.130." + std::to_string(number / 250) + "." + std::to_string(number % 250);
    result.port = 5432;
    result.connections = 16;
    result.slots = 2;
    result.role = indexInRegion % 3 == 0 ? BackendRole::Primary : BackendRole::Replica;
    result.point = { 7, position_ };
    return result;
}

ScaleRun::ScaleRun() : sentBytesByNode_(FLAGS_nodes)
{
    MembershipSync allMembers;
    for (unsigned number = 0; number < FLAGS_nodes; ++number) {
        allMembers.members.push_back(makeRecord(number));
        GossipOptions options;
        options.self = makeRecord(number);
        options.boot = 1;
        options.randomSeed = random_();
        cores_.push_back(std::make_unique<GossipCore>(options, counters));
    }
    for (unsigned number = 0; number < FLAGS_nodes; ++number) {
        cores_[number]->receiveSync(now_, VmId { "vm0" }, allMembers);
        (void)cores_[number]->takeActions();
    }
}

void ScaleRun::announceAll()
{
    nextAnnounceAt_ = now_ + AnnounceInterval;
    position_ += 10;
    for (unsigned number = 0; number < FLAGS_databases; ++number) {
        const unsigned region = number % FLAGS_regions;
        const unsigned vmsPerRegion = FLAGS_nodes / FLAGS_regions;
        const unsigned vm = region + FLAGS_regions * static_cast<unsigned>(random_() % vmsPerRegion);
        if (cores_[vm]) {
            cores_[vm]->recordAnnouncement(now_, makeAnnouncement(number));
        }
    }
}

void ScaleRun::performActions(unsigned number)
{
    for (GossipAction &action : cores_[number]->takeActions()) {
        if (auto *send = std::get_if<SendGossip>(&action); send != nullptr) {
            const std::uint64_t bytes
                = encodeGossipMessage(send->message).size() + AuthenticationTagBytes + UdpHeaderBytes;
            sentBytes += bytes;
            sentBytesByNode_[number] += bytes;
            if (FLAGS_loss == 0 || random_() % 100 >= FLAGS_loss) {
                datagrams_.push_back({ send->port - 1U, std::move(send->message) });
            }
        } else if (auto *sync = std::get_if<SendSync>(&action); sync != nullptr) {
            ++syncCount;
            const auto to = static_cast<unsigned>(std::stoul(sync->to.value.substr(2)));
            const std::string bytes = encodePeerMessage({ sync->to, sync->sync });
            sentBytes += bytes.size();
            sentBytesByNode_[number] += bytes.size();
            syncs_.push_back({ { number, to }, sync->sync });
        }
    }
}

void ScaleRun::deliverMessages()
{
    while (!datagrams_.empty() || !syncs_.empty()) {
        if (!datagrams_.empty()) {
            const Datagram datagram = std::move(datagrams_.front());
            datagrams_.pop_front();
            if (cores_[datagram.to]) {
                cores_[datagram.to]->receive(now_, datagram.message);
                performActions(datagram.to);
            }
            continue;
        }
        const auto [endpoints, sync] = std::move(syncs_.front());
        syncs_.pop_front();
        if (cores_[endpoints.second]) {
            cores_[endpoints.second]->receiveSync(now_, VmId { "vm" + std::to_string(endpoints.first) }, sync);
            performActions(endpoints.second);
        }
    }
}

void ScaleRun::run(Duration time)
{
    for (const Instant end = now_ + time; now_ < end; now_ += Step) {
        if (nextAnnounceAt_ <= now_) {
            announceAll();
        }
        for (unsigned number = 0; number < FLAGS_nodes; ++number) {
            if (cores_[number]) {
                cores_[number]->tick(now_);
                performActions(number);
            }
        }
        deliverMessages();
    }
}

std::pair<double, double> ScaleRun::crashOneNode()
{
    const unsigned crashedNode = FLAGS_nodes - 1;
    const VmId id = makeRecord(crashedNode).id;
    cores_[crashedNode].reset();
    const Instant start = now_;
    double halfSeconds = -1;
    for (int step = 0; step < 1200; ++step) {
        run(Step);
        unsigned deadCount = 0;
        for (const std::unique_ptr<GossipCore> &core : cores_) {
            const KnownMember *known = core ? core->members().find(id) : nullptr;
            deadCount += known != nullptr && known->record.state == MemberState::Dead ? 1 : 0;
        }
        const double elapsed = std::chrono::duration<double>(now_ - start).count();
        if (halfSeconds < 0 && deadCount * 2 >= FLAGS_nodes - 1) {
            halfSeconds = elapsed;
        }
        if (deadCount == FLAGS_nodes - 1) {
            return { halfSeconds, elapsed };
        }
    }
    return { halfSeconds, -1 };
}

std::uint64_t ScaleRun::maxSentBytesPerNode() const
{
    return *std::max_element(sentBytesByNode_.begin(), sentBytesByNode_.end());
}

void ScaleRun::resetTraffic()
{
    sentBytes = 0;
    syncCount = 0;
    std::fill(sentBytesByNode_.begin(), sentBytesByNode_.end(), 0);
}

double ScaleRun::knownBackendShare() const
{
    double known = 0;
    double expected = 0;
    for (const std::unique_ptr<GossipCore> &core : cores_) {
        if (!core || core->members().self().isControlVm) {
            continue;
        }
        known += static_cast<double>(core->announcements().size());
        expected += static_cast<double>(FLAGS_databases) / FLAGS_regions;
    }
    return known / expected;
}

static double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("daisyrelay-scale --nodes N --databases N --regions N [--seconds N] [--loss PERCENT]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_nodes < 2 || FLAGS_regions < 1 || FLAGS_regions > FLAGS_nodes || FLAGS_nodes > 2000) {
        std::cerr << "daisyrelay-scale: --nodes must be 2 to 2000 and --regions 1 to --nodes\n";
        return 2;
    }
    const std::size_t memoryBefore = mallinfo2().uordblks;
    ScaleRun run;
    run.run(std::chrono::seconds(5)); // Warm-up: the announcements of the backend servers spread to all nodes.
    run.resetTraffic();
    const double cpuBefore = cpuSeconds();
    run.run(std::chrono::seconds(FLAGS_seconds));
    const double perNodeSecond = 1.0 / FLAGS_nodes / FLAGS_seconds;
    const double cpu = (cpuSeconds() - cpuBefore) * perNodeSecond;
    std::cout << "nodes " << FLAGS_nodes << " databases " << FLAGS_databases << " regions " << FLAGS_regions << " loss "
              << FLAGS_loss << "% seconds " << FLAGS_seconds << "\n"
              << "sent per node        " << static_cast<double>(run.sentBytes) * perNodeSecond / 1000
              << " KB/s, maximum " << static_cast<double>(run.maxSentBytesPerNode()) / FLAGS_seconds / 1000
              << " KB/s, table syncs " << run.syncCount << "\n"
              << "cpu per node         " << cpu * 100 << " % of a core, including the work of the simulation\n"
              << "state per node       " << static_cast<double>(mallinfo2().uordblks - memoryBefore) / FLAGS_nodes / 1e6
              << " MB\n"
              << "servers known        " << run.knownBackendShare() * 100 << " % of those in the same region\n"
              << "suspected, died      " << run.counters.value("membership.suspected") << ", "
              << run.counters.value("membership.died") << "\n";
    const auto [halfSeconds, allSeconds] = run.crashOneNode();
    std::cout << "crash detected by    half of the VMs after " << halfSeconds << " s, by all after " << allSeconds
              << " s\n";
    return 0;
}
