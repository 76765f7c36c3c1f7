// Public header of the membership library: which VMs and backend servers are there.
#pragma once

#include "daisyrelay/membership/announcementdirectory.h"
#include "daisyrelay/membership/disseminationqueue.h"
#include "daisyrelay/membership/gossipactions.h"
#include "daisyrelay/membership/gossipcore.h"
#include "daisyrelay/membership/membershiptiming.h"
#include "daisyrelay/membership/membertable.h"
#include "daisyrelay/membership/prober.h"
#include "daisyrelay/membership/replayguard.h"
#include "daisyrelay/membership/rumorqueue.h"
#include "daisyrelay/membership/servicedigests.h"
