// Public header of the supervision library: what the leader of the control VMs decides where databases are addressed
// by name.
#pragma once

#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"
#include "daisyrelay/supervision/supervisor.h"
