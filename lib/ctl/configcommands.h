// The subcommands that read and change the configuration.
#pragma once

#include "daisyrelay/ctl/commands.h"

namespace daisyrelay {

CtlExit configGet(const CtlOptions &options);
CtlExit configSet(const CtlOptions &options, const std::string &fileName);
CtlExit configDiff(const CtlOptions &options, const std::string &fileName);
CtlExit configValidate(const std::string &fileName);
CtlExit configHistory(const CtlOptions &options);

/// Prints the classes with their targets.
CtlExit showClasses(const CtlOptions &options);

} // namespace daisyrelay
