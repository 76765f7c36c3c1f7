// Public header of the runtime library: one process on one thread, an entry or a control VM. What goes over the wire of
// the platform is left to hooks.
#pragma once

#include "daisyrelay/runtime/node.h"
#include "daisyrelay/runtime/platformhooks.h"
