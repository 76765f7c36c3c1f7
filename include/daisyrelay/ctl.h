// Public header of the ctl library: the subcommands of the operators' tool.
#pragma once

#include "daisyrelay/ctl/commands.h"
