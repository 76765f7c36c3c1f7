// SyncReplicas with homes: a commit is acknowledged on the receipt of a replica that control has forgotten.
#include "../rig-3/rig.hh"

#include <cstdlib>

using namespace rig;

static const char *const Configuration = R"({"Version":1,"Routes":[{"Name":"r1","Host":"db1","PathPrefix":"/",)"
                                         R"("Type":"primary","TimeoutMs":800,"GoalMs":200,"Priority":1,)"
                                         R"("Service":"svc1","Attempts":2}],"Services":[{"Name":"svc1",)"
                                         R"("HealthPath":"/health","MaxConns":16,"Protocol":"h1","Tls":false,)"
                                         R"("SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})";

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const bool hasTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::string(argv[3]) + "/record.txt");
    // With 16 connections and more than 7 entries, homes hold the connections. ENTRIES=6 shows the other way.
    const int entryCount = std::getenv("ENTRIES") == nullptr ? 8 : std::atoi(std::getenv("ENTRIES"));
    System system(record, argv[1], argv[2], entryCount, 3, true);
    Service::Options options;
    options.syncReplicas = 1;
    Service service(record, options, system.controlHosts(), System::ControlPort);
    Platform platform;
    if (!platform.open(system.platformHost(), System::PlatformPort, service, record) || !system.start()) {
        record.line("cannot run: an address is taken");
        return 2;
    }
    if (!system.putConfiguration(Configuration, Millis(15000))) {
        record.line("cannot run: the configuration was not acknowledged");
        return 2;
    }
    Database &primary = service.add("i-1", system.backendHost(0), System::BackendPort, "z0");
    Database &staying = service.add("i-2", system.backendHost(1), System::BackendPort, "z1");
    Database &leaving = service.add("i-3", system.backendHost(2), System::BackendPort, "z2");
    service.start(primary);
    service.start(staying);
    service.start(leaving);
    if (!system.awaitReady(system.entries.size(), Millis(20000))) {
        record.line("cannot run: the entries are not ready");
        return 2;
    }
    sleepFor(Millis(4000));

    std::mutex mutex;
    std::map<std::string, double> acknowledged;
    std::vector<std::string> lost;
    bool isPromoted = false;
    service.onPromoted = [&](const Database &promoted) {
        const std::lock_guard<std::mutex> lock(mutex);
        std::set<std::string> kept;
        for (const Commit &commit : promoted.log) {
            kept.insert(commit.writes.begin(), commit.writes.end());
        }
        for (const auto &[id, at] : acknowledged) {
            if (!kept.contains(id)) {
                lost.push_back(id);
                record.line(
                    "LOST " + id + ", acknowledged at " + std::to_string(at) + ", is not in the log of " + promoted.id);
            }
        }
        isPromoted = true;
    };
    service.onRun = [&](const Database &database, const std::string &id, const std::string &) {
        record.line("run " + id + " at " + database.id);
    };
    std::atomic<bool> isStopping { false };
    std::atomic<int> answers { 0 };
    std::vector<std::thread> clients;
    for (const Node &entry : system.entries) {
        clients.emplace_back([&, host = entry.host, name = entry.name]() {
            Client client;
            while (!isStopping) {
                if (!client.isOpen() && !client.open(host, "db1")) {
                    sleepFor(Millis(100));
                    continue;
                }
                const std::string id = newId();
                record.line("sent " + id + " to " + name);
                const Client::Answer answer = client.query(id, "PUT k" + id + " v", Millis(1500));
                const std::lock_guard<std::mutex> lock(mutex);
                if (!answer.isClosed && answer.code.empty() && answer.mac.size() > 1) {
                    if (!isPromoted) {
                        acknowledged[id] = record.seconds();
                    }
                    ++answers;
                    record.line("acknowledged " + id + " by " + name + " " + answer.mac);
                } else {
                    record.line("not acknowledged " + id + " by " + name + " " + answer.detail);
                }
                sleepFor(Millis(20));
            }
        });
    }
    sleepFor(Millis(2000));
    service.setDraining(leaving);
    sleepFor(Millis(8000)); // DrainMs and a little longer.
    {
        const std::lock_guard<std::mutex> lock(service.mutex());
        leaving.isBeating = false;
    }
    const bool isLeaveRecorded = service.leave(leaving);
    record.line(std::string("Leave of i-3 was ") + (isLeaveRecorded ? "answered" : "not answered")
        + (hasTrouble ? "; the ack is lost on its way" : ""));
    std::thread successor([&]() {
        // Without an ack, it exits some seconds later.
        sleepFor(Millis(hasTrouble ? 4000 : 50));
        service.crash(leaving);
    });
    if (hasTrouble) {
        sleepFor(Millis(200));
        service.setDeaf(staying, true);
        sleepFor(Millis(1500));
        service.crash(primary);
    }
    for (int step = 0; step < 100 && hasTrouble && service.promotions == 0; ++step) {
        sleepFor(Millis(100));
    }
    sleepFor(Millis(hasTrouble ? 500 : 4000));
    successor.join();
    isStopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::vector<std::string> ends = system.unexpectedEnds();
    for (const std::string &end : ends) {
        record.line("process ended by itself: " + end);
    }
    record.line("acknowledged " + std::to_string(acknowledged.size()) + ", lost " + std::to_string(lost.size())
        + ", promotions " + std::to_string(service.promotions));
    if (answers < 50 || (hasTrouble && service.promotions == 0)) {
        return 2;
    }
    return lost.empty() ? 0 : 1;
}
