// The daemon: reads its settings file and runs the roles that the file enables.
#include "daisyrelay/config.h"
#include "daisyrelay/net.h"

#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "Settings file (YAML) of this process");
DEFINE_bool(check, false, "Check the settings file and exit");

int main(int argc, char **argv)
{
    constexpr int ExitBadSettings = 2;
    gflags::SetUsageMessage("daisyrelayd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const daisyrelay::Expected<daisyrelay::Settings> settings = daisyrelay::loadSettings(FLAGS_settings);
    if (!settings) {
        std::cerr << "daisyrelayd: " << settings.error().detail << "\n";
        return ExitBadSettings;
    }
    if (FLAGS_check) {
        return 0;
    }
    return daisyrelay::runDaemon(*settings);
}
