// Public header of the ratelimits library: rate limits of workspaces, summed over all entries.
#pragma once

#include "daisyrelay/ratelimits/ratelimitclient.h"
#include "daisyrelay/ratelimits/ratelimitcoordinator.h"
#include "daisyrelay/ratelimits/ratelimitoptions.h"
#include "daisyrelay/ratelimits/slidingcount.h"
