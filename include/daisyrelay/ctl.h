// Public header of the ctl library: the subcommands of daisyrelayctl, the command-line tool for operators.
#pragma once

#include "daisyrelay/ctl/commands.h"
