// Case 3: a session that has written to two services, since its route was moved and moved back, does not see its own
// acknowledged write at a replica that is behind.
#include "../standin/standin.hh"

using namespace standin;

static constexpr Millis LagAt = 9000;
static constexpr Millis LagFor = 6500; // As `replica_lag` in the site file.
static constexpr Millis LagFactor = 60;
static constexpr Millis UsualLagMs = 20;
static constexpr Millis EndAt = 18000;
static constexpr int Sessions = 6;
static constexpr int Rounds = 2;
static constexpr Millis RoundInterval = 3000;

static std::string movedRoute(int service)
{
    return ",{\"Name\":\"r-mv\",\"Host\":\"mv\",\"PathPrefix\":\"/\",\"Type\":\"read_your_writes\",\"TimeoutMs\":800,"
           "\"GoalMs\":200,\"Priority\":1,\"Service\":\"svc"
        + std::to_string(service) + "\",\"Attempts\":2,\"MaxStalenessMs\":2500}";
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Loop loop;
    Deployment deployment;
    if (argc < 2 || !loop.record.open(argv[1]) || !prepare(deployment, 3, 3)) {
        std::fprintf(stderr, "case 3: cannot prepare the deployment\n");
        return 2;
    }
    loop.random.seed(std::random_device {}());
    SmallSystem system(loop, deployment, 2);
    system.moreRoutes = movedRoute(0);
    if (!system.start(12)) {
        return 2;
    }
    // The clients write to the first service only, so that its log is much the longer one.
    loop.after(1500, [&system]() {
        for (const auto &client : system.clients) {
            client->writeShare = client->route.starts_with("db0") && client->writeShare > 0 ? 0.5 : 0;
        }
    });
    struct Seen {
        std::uint64_t applied = 0;
        std::string service;
        std::string database;
    };
    std::map<std::string, Seen> reads; ///< What each read found applied.
    std::map<std::string, std::uint64_t> commits; ///< Number of each commit.
    for (std::size_t at = 0; at < system.databases.size(); ++at) {
        const std::string service = system.services[at / 3]->name;
        system.databases[at]->onRead = [&reads, service](const std::string &id, const Database &database) {
            reads[id] = { database.applied(), service, database.id };
        };
        system.databases[at]->onCommit
            = [&commits](const std::string &id, std::uint64_t number) { commits[id] = number; };
    }
    std::vector<std::unique_ptr<Planner>> sessions;
    loop.after(4000, [&]() {
        for (int at = 0; at < Sessions; ++at) {
            const auto entries = deployment.entries();
            sessions.push_back(std::make_unique<Planner>(loop,
                Address { entries[static_cast<std::size_t>(at) % entries.size()]->host, deployment.callerPort },
                "s" + std::to_string(at), "mv"));
            sessions.back()->start();
        }
    });
    if (hasTrouble) {
        loop.after(LagAt, [&]() {
            loop.record.line("replicas of svc0 apply %ld ms late", static_cast<long>(UsualLagMs * LagFactor));
            setReplicaLag(*system.services[0], UsualLagMs * LagFactor);
        });
        loop.after(LagAt + LagFor, [&]() { setReplicaLag(*system.services[0], UsualLagMs); });
    }
    int version = 7;
    const auto sendAll = [&](const std::string &text, std::vector<std::string> &ids) {
        for (const auto &session : sessions) {
            ids.push_back(session->isIdle() ? session->send(text) : "");
        }
    };
    struct Round {
        std::vector<std::string> writes;
        std::vector<std::string> others;
        std::vector<std::string> reads;
    };
    std::vector<std::unique_ptr<Round>> rounds;
    const auto move = [&](int service, std::function<void()> then) {
        system.moreRoutes = movedRoute(service);
        loop.record.line("operator: version %d moves the route to svc%d", ++version, service);
        putConfiguration(
            loop, deployment.controls(), system.configuration(version), [&loop, then]() { loop.after(60, then); });
    };
    for (int at = 0; at < Rounds; ++at) {
        rounds.push_back(std::make_unique<Round>());
        Round &round = *rounds.back();
        loop.after(LagAt + 1500 + at * RoundInterval, [&]() {
            sendAll("PUT i1 own", round.writes);
            loop.after(60, [&]() {
                move(1, [&]() {
                    sendAll("PUT i2 other", round.others);
                    loop.after(60, [&]() { move(0, [&]() { sendAll("FETCH i1", round.reads); }); });
                });
            });
        });
    }
    loop.after(EndAt, [&loop]() { loop.stop(); });
    loop.run();

    int judged = 0;
    int stale = 0;
    for (const auto &round : rounds) {
        for (std::size_t at = 0; at < std::min(round->writes.size(), round->reads.size()); ++at) {
            const auto &outcomes = sessions[at]->outcomes;
            const std::string &write = round->writes[at];
            const std::string &read = round->reads[at];
            const auto isOk = [&outcomes](const std::string &id) {
                const auto found = outcomes.find(id);
                return found != outcomes.end() && found->second == "ok";
            };
            if (!isOk(write) || !isOk(read) || !commits.contains(write) || reads[read].service != "svc0") {
                continue;
            }
            ++judged;
            const bool isStale = reads[read].applied < commits[write];
            stale += isStale ? 1 : 0;
            loop.record.line("total: %s read with %lu commits applied at %s; its session's commit %s is number %lu%s",
                read.c_str(), reads[read].applied, reads[read].database.c_str(), write.c_str(), commits[write],
                isStale ? ": stale" : "");
        }
    }
    std::printf("case 3: %d reads after an own write, %d stale\n", judged, stale);
    if (judged == 0) {
        system.finish("case 3", false);
        return 2;
    }
    // RULES, STALE: on read_your_writes routes also any commit of the same session.
    return system.finish("case 3", stale > 0);
}
