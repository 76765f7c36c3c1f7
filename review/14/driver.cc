// PINNED: a prepared name whose preparing was acknowledged is unknown once an entry has met 4,096 shapes.
#include "../rig-3/rig.hh"

#include <cstdlib>

using namespace rig;

static const char *const Configuration = R"({"Version":1,"Routes":[{"Name":"r1","Host":"db1","PathPrefix":"/",)"
                                         R"("Type":"primary","TimeoutMs":600,"GoalMs":100,"Priority":0,)"
                                         R"("Service":"svc1","Attempts":2}],"Services":[{"Name":"svc1",)"
                                         R"("HealthPath":"/health","MaxConns":16,"Protocol":"h1","Tls":false,)"
                                         R"("SyncReplicas":0}],"Limits":{"TxIdleMs":3000}})";

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const bool hasTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::string(argv[3]) + "/record.txt");
    System system(record, argv[1], argv[2], 6, 3, true);
    Service service(record, {}, system.controlHosts(), System::ControlPort);
    Platform platform;
    if (!platform.open(system.platformHost(), System::PlatformPort, service, record) || !system.start()) {
        record.line("cannot run: an address is taken");
        return 2;
    }
    if (!system.putConfiguration(Configuration, Millis(15000))) {
        record.line("cannot run: the configuration was not acknowledged");
        return 2;
    }
    for (int index = 0; index < 3; ++index) {
        service.start(service.add("i-" + std::to_string(index + 1), system.backendHost(index), System::BackendPort,
            "z" + std::to_string(index)));
    }
    std::atomic<int> unknownNames { 0 };
    std::atomic<int> runs { 0 };
    service.onRun = [&](const Database &, const std::string &, const std::string &) { ++runs; };
    service.onUnknownName = [&](const Database &database, const std::string &id, const std::string &text) {
        ++unknownNames;
        record.line(database.id + " was sent " + id + ' ' + text + ", a name that it doesn't know");
    };
    if (!system.awaitReady(system.entries.size(), Millis(20000))) {
        record.line("cannot run: the entries are not ready");
        return 2;
    }
    sleepFor(Millis(3000));

    // All clients use one entry and the same name, and a shape of their own for each transaction.
    const std::string host = system.entries.front().host;
    constexpr int Clients = 4;
    constexpr int Transactions = 8400;
    constexpr int FewShapes = 60;
    std::atomic<int> next { 0 };
    std::atomic<int> complete { 0 };
    std::atomic<int> lostNames { 0 };
    std::atomic<int> others { 0 };
    const auto endsAt = Clock::now() + std::chrono::seconds(85);
    std::vector<std::thread> threads;
    for (int thread = 0; thread < Clients; ++thread) {
        threads.emplace_back([&]() {
            while (Clock::now() < endsAt) {
                const int number = next++;
                if (number >= Transactions) {
                    return;
                }
                const std::string shape = "q" + std::to_string(hasTrouble ? number : number % FewShapes);
                Client client;
                if (!client.open(host, "db1")) {
                    ++others;
                    continue;
                }
                const std::string execution = newId();
                const std::vector<std::pair<std::string, std::string>> statements { { newId(), "PREPARE s1 FETCH " + shape },
                    { newId(), "BEGIN" }, { newId(), "FETCH a" }, { execution, "EXEC s1 b" }, { newId(), "COMMIT" } };
                bool isComplete = true;
                for (const auto &[id, text] : statements) {
                    const Client::Answer answer = client.query(id, text, Millis(600));
                    if (!answer.mac.empty() && !answer.isClosed) {
                        continue;
                    }
                    isComplete = false;
                    record.line("transaction " + std::to_string(number) + ": sent " + id + ' ' + text
                        + ", answered " + (answer.isClosed ? "with a close" : answer.code + ' ' + answer.detail));
                    if (id == execution && answer.code == "NOSTMT") {
                        ++lostNames; // Its PREPARE was answered with DONE in this session.
                        record.line("  (PREPARE s1 FETCH " + shape + " was acknowledged in this session)");
                    } else {
                        ++others;
                    }
                    break;
                }
                complete += isComplete ? 1 : 0;
                client.close();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (const std::string &end : system.unexpectedEnds()) {
        record.line("process ended: " + end);
    }
    record.line("transactions sent " + std::to_string(std::min<int>(next, Transactions)) + ", complete "
        + std::to_string(complete) + ", acknowledged names that were unknown " + std::to_string(lostNames)
        + ", other ends " + std::to_string(others) + "; statements run " + std::to_string(runs)
        + ", names that a database did not know " + std::to_string(unknownNames));
    if (lostNames > 0) {
        return 1;
    }
    return complete > Transactions / 2 ? 0 : 2;
}
