// Case 1: during a planned release, a database that joins while the primary is replaced receives commits that the
// promoted database lacks, and the clients have their acknowledgements.
#include "../standin/standin.hh"

using namespace standin;

static constexpr Millis ReleaseAt = 8000;
static constexpr Millis SecondAfterPromote = 170; // A second after the first successor, the default gap of `release`.
static constexpr Millis ReadyAfter = 800; // A new database has taken its place for this long before the old one drains.
static constexpr Millis DrainMs = 7000;
static constexpr Millis EndAt = 30000;

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Loop loop;
    Deployment deployment;
    if (argc < 2 || !loop.record.open(argv[1]) || !prepare(deployment, 3, 3)) {
        std::fprintf(stderr, "case 1: cannot prepare the deployment\n");
        return 2;
    }
    loop.random.seed(std::random_device {}());
    SmallSystem system(loop, deployment, 1, 1);
    if (!system.start(12)) {
        return 2;
    }
    ServiceLog &service = *system.services[0];
    loop.after(1500, [&system]() {
        for (const auto &client : system.clients) {
            client->writeShare = client->writeShare > 0 ? 0.5 : 0;
        }
    });
    std::vector<std::unique_ptr<Database>> successors;
    // The databases of the service are replaced one after the other, the primary first. The new one starts first, the
    // old one drains, leaves after DrainMs and ends.
    const auto startSuccessor = [&](int at) {
        Database &old = *system.databases[static_cast<std::size_t>(at)];
        auto successor = std::make_unique<Database>(loop, service, deployment.controls());
        successor->id = "i-" + service.name + "-new" + std::to_string(at);
        successor->zone = old.zone;
        successor->address = { deployment.host(20, at), deployment.backendPort };
        successor->term = service.term;
        successor->received = service.log.size(); // The log is transferred before it checks in.
        successor->onRun = system.databases[0]->onRun;
        Database &started = *successor;
        started.onAcknowledged = [&loop, &started, &service]() {
            loop.record.line("release: the check-in of %s is acknowledged; the primary has %zu commits",
                started.id.c_str(), service.log.size());
        };
        successor->start();
        loop.record.line("release: %s starts with %lu commits", successor->id.c_str(), successor->received);
        successors.push_back(std::move(successor));
    };
    const auto drain = [&](int at) {
        Database &old = *system.databases[static_cast<std::size_t>(at)];
        old.stateName = "draining";
        loop.record.line("release: %s drains", old.id.c_str());
        old.onDrainingAcknowledged = [&loop, &old, &deployment]() {
            loop.record.line("release: draining of %s is acknowledged", old.id.c_str());
            loop.after(DrainMs + 500, [&loop, &old, &deployment]() {
                httpCall(loop, deployment.controls()[0], "POST", "/-/Instances.Leave/" + old.id,
                    "{\"born\":" + std::to_string(old.born) + "}", 1000,
                    [&old](std::optional<HttpMessage>) { old.end(); });
            });
        };
        old.beat();
    };
    if (hasTrouble) {
        loop.after(ReleaseAt, [&]() { startSuccessor(0); });
        loop.after(ReleaseAt + ReadyAfter, [&]() { drain(0); });
        // About a second after the first one, whatever the time that the leader takes to call the promotion.
        system.onFirstPromote = [&](const std::string &) {
            loop.after(SecondAfterPromote, [&]() { startSuccessor(1); });
            loop.after(SecondAfterPromote + ReadyAfter, [&]() { drain(1); });
        };
    }
    loop.after(EndAt, [&loop]() { loop.stop(); });
    loop.run();

    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    for (const auto &client : system.clients) {
        for (const std::string &id : client->acknowledgedWrites) {
            ++acknowledged;
            if (service.discarded.contains(id)) {
                ++lost;
                loop.record.line(
                    "total: acknowledged commit %s is not in the log of the promoted database", id.c_str());
            }
        }
    }
    loop.record.line(
        "total: %zu commits acknowledged to clients, %zu of them lost; term %lu", acknowledged, lost, service.term);
    std::printf("case 1: %zu commits acknowledged, %zu lost\n", acknowledged, lost);
    // RULES, LOST: where the service has SyncReplicas, an acknowledged commit isn't in the log of the promoted
    // database.
    return system.finish("case 1", lost > 0);
}
