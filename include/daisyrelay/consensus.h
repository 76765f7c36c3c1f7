// Public header of the consensus library, which replicates the log of the control VMs.
#pragma once

#include "daisyrelay/consensus/raftactions.h"
#include "daisyrelay/consensus/raftcore.h"
#include "daisyrelay/consensus/raftlog.h"
#include "daisyrelay/consensus/raftoptions.h"
