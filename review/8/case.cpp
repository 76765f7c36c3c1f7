// A promotion whose answer is lost is carried out 11.9 s later, after a new leader has let the replicas receive again.
#include "../rig-2/rig.h"

#include <cstdlib>

using namespace rig;

static constexpr long PromotionDelayMs = 11900; // The pages: 2 to 12 s.
static constexpr long RestartAfterOrderMs = 250; // Of the primary, which is then down for about 0.5 s.
static constexpr long ControlOutageMs = 1000;
static constexpr long DeafFromMs = 9000; // After the order.
static constexpr long DeafUntilMs = 13500;

int main(int argc, char **argv)
{
    origin();
    const char *wanted = std::getenv("TROUBLE");
    const bool hasTrouble = wanted == nullptr || std::string(wanted) != "0";
    record().open(argc > 1 ? argv[1] : "record.txt");
    Rig rig({});
    std::atomic<long> orderedAt { 0 };
    std::mutex orderMutex;
    std::string candidate;
    std::string holder;
    rig.lateBy = [&](const std::string &from, const std::string &id, long) -> std::optional<long> {
        if (!hasTrouble || orderedAt != 0) {
            return std::nullopt;
        }
        const std::lock_guard lock(orderMutex);
        candidate = id;
        holder = from;
        orderedAt = nowMs();
        rig.killNode(*rig.findNode(from));
        return PromotionDelayMs;
    };
    const auto waitUntil = [](long ms) {
        while (nowMs() < ms) {
            sleepMs(5);
        }
    };
    rig.start();
    if (!rig.awaitService(20000)) {
        record().add("no service");
        return 2;
    }
    rig.startClients();
    sleepMs(2000);
    if (hasTrouble) {
        Database &primary = *rig.databases[0];
        rig.crashDatabase(primary);
        const long giveUpAt = nowMs() + 5000;
        while (orderedAt == 0 && nowMs() < giveUpAt) {
            sleepMs(5);
        }
        if (orderedAt == 0) {
            record().add("nobody ordered a promotion");
            return 2;
        }
        waitUntil(orderedAt + RestartAfterOrderMs);
        rig.startDatabase(primary);
        waitUntil(orderedAt + ControlOutageMs);
        rig.startNode(*rig.findNode(holder), false);
        waitUntil(orderedAt + DeafFromMs);
        rig.setDeaf(*rig.find(candidate), true);
        waitUntil(orderedAt + DeafUntilMs);
        rig.setDeaf(*rig.find(candidate), false);
        sleepMs(2500);
    } else {
        sleepMs(17000);
    }
    rig.stopClients();
    return rig.finish();
}
