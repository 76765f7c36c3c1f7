// The daemon for the users' platform: a single-threaded process that runs an entry or a control VM, as set in its
// settings.
#include "platform/platform.h"

#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "Settings file (YAML); defaults to the file that DAISYRELAY_CONFIG names");
DEFINE_bool(check, false, "Check the settings file and exit");

int main(int argc, char **argv)
{
    constexpr int ExitBadSettings = 2;
    gflags::SetUsageMessage("daisyrelay-node [--settings FILE] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const char *named = std::getenv("DAISYRELAY_CONFIG");
    const std::string file = !FLAGS_settings.empty() || named == nullptr ? FLAGS_settings : named;
    if (!FLAGS_check) {
        return daisyrelay::runNode(file, daisyrelay::platform::platformHooks());
    }
    const daisyrelay::Expected<daisyrelay::NodeSettings> settings = daisyrelay::loadNodeSettings(file);
    if (!settings) {
        std::cerr << "daisyrelay-node: " << settings.error().detail << "\n";
        return ExitBadSettings;
    }
    return 0;
}
