// Public header of the consensus library: the replicated log of the control VMs.
#pragma once

#include "daisyrelay/consensus/raftcore.h"
