// Case 5: a replica that restarts while the primary is replaced forgets its pause. It receives commits that the
// promoted database lacks, and the clients have their acknowledgements.
#include "../standin/standin.hh"

using namespace standin;

static constexpr Millis ReleaseAt = 8000;
static constexpr Millis ReadyAfter = 800; // A new database has taken its place for this long before the old one drains.
static constexpr Millis CrashAfterPromote = 100;
static constexpr Millis DownFor = 150; // Less than the seconds of `srv_crash`: the process is started again at once.
static constexpr Millis DrainMs = 7000;
static constexpr Millis EndAt = 25000;

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Loop loop;
    Deployment deployment;
    if (argc < 2 || !loop.record.open(argv[1]) || !prepare(deployment, 3, 3)) {
        std::fprintf(stderr, "case 5: cannot prepare the deployment\n");
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
    std::vector<std::unique_ptr<Database>> started;
    const auto start
        = [&](const std::string &id, const std::string &zone, const Address &address, std::uint64_t received) {
              auto database = std::make_unique<Database>(loop, service, deployment.controls());
              database->id = id;
              database->zone = zone;
              database->address = address;
              database->term = service.term;
              database->received = received;
              database->onRun = system.databases[0]->onRun;
              database->onAcknowledged = [&loop, &service, id]() {
                  loop.record.line("the check-in of %s is acknowledged; the primary has %zu commits", id.c_str(),
                      service.log.size());
              };
              database->start();
              loop.record.line("%s starts with %lu commits", id.c_str(), received);
              started.push_back(std::move(database));
          };
    // Planned work, with and without trouble: the primary is replaced.
    Database &old = *system.databases[0];
    loop.after(ReleaseAt, [&]() {
        start("i-" + service.name + "-new", old.zone, { deployment.host(20, 0), deployment.backendPort },
            service.log.size());
    });
    loop.after(ReleaseAt + ReadyAfter, [&]() {
        old.stateName = "draining";
        loop.record.line("release: %s drains", old.id.c_str());
        old.onDrainingAcknowledged = [&loop, &old, &deployment]() {
            loop.after(DrainMs + 500, [&loop, &old, &deployment]() {
                httpCall(loop, deployment.controls()[0], "POST", "/-/Instances.Leave/" + old.id,
                    "{\"born\":" + std::to_string(old.born) + "}", 1000,
                    [&old](std::optional<HttpMessage>) { old.end(); });
            });
        };
        old.beat();
    });
    if (hasTrouble) {
        system.onFirstPromote = [&](const std::string &candidate) {
            Database &replica = *system.databases[system.databases[2]->id == candidate ? 1 : 2];
            loop.after(CrashAfterPromote, [&]() {
                loop.record.line("%s crashes", replica.id.c_str());
                replica.end();
                loop.after(DownFor, [&]() { start(replica.id, replica.zone, replica.address, replica.received); });
            });
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
    std::printf("case 5: %zu commits acknowledged, %zu lost\n", acknowledged, lost);
    if (service.term < 2) {
        system.finish("case 5", false);
        return 2;
    }
    // RULES, LOST: where the service has SyncReplicas, an acknowledged commit isn't in the log of the promoted
    // database.
    return system.finish("case 5", lost > 0);
}
