// Public header of the runtime library, which runs the roles of a process (entry, control VM) on a single thread. Hooks
// translate the messages and calls of the platform.
#pragma once

#include "daisyrelay/runtime/node.h"
#include "daisyrelay/runtime/platformhooks.h"
