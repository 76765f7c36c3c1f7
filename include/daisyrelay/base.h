// Public header of the base library: time, identifiers, error kinds, counters and latency distributions.
#pragma once

#include "daisyrelay/base/counters.h"
#include "daisyrelay/base/errorkind.h"
#include "daisyrelay/base/fencingpolicy.h"
#include "daisyrelay/base/ids.h"
#include "daisyrelay/base/latencystats.h"
#include "daisyrelay/base/randomnumber.h"
#include "daisyrelay/base/stablehash.h"
#include "daisyrelay/base/time.h"
