// A zone with the primary is cut off while a successor of a database starts there: commits are acknowledged through it
// until the promotion of a database outside takes effect.
#include "../rig-2/rig.h"

#include <cstdlib>

using namespace rig;

static constexpr long CutMs = 4500; // The site file: 5.5 s.
static constexpr long SuccessorAfterCutMs = 300;
static constexpr long DrainAfterSuccessorMs = 1000;
static constexpr long DrainMs = 7000;

int main(int argc, char **argv)
{
    origin();
    const char *wanted = std::getenv("TROUBLE");
    const bool hasTrouble = wanted == nullptr || std::string(wanted) != "0";
    record().open(argc > 1 ? argv[1] : "record.txt");
    Options options;
    options.hasPeerProxies = true;
    Rig rig(options);
    rig.start();
    if (!rig.awaitService(20000)) {
        record().add("no service");
        return 2;
    }
    rig.startClients();
    sleepMs(3000);
    if (hasTrouble) {
        rig.cutZone("za");
    }
    // The primary is replaced as planned: its successor starts first.
    sleepMs(SuccessorAfterCutMs);
    rig.addDatabase("za");
    sleepMs(DrainAfterSuccessorMs);
    rig.drain(*rig.databases[0]);
    sleepMs(CutMs - SuccessorAfterCutMs - DrainAfterSuccessorMs);
    if (hasTrouble) {
        rig.cutZone("");
    }
    sleepMs(DrainMs - (CutMs - SuccessorAfterCutMs - DrainAfterSuccessorMs) + 800);
    rig.leave(*rig.databases[0]);
    sleepMs(1500);
    rig.stopClients();
    return rig.finish();
}
