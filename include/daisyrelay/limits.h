// Public header of the limits library: connection pools, admission queues, concurrency windows and retry budgets.
#pragma once

#include "daisyrelay/limits/adaptivewindow.h"
#include "daisyrelay/limits/backoff.h"
#include "daisyrelay/limits/circuitbreaker.h"
#include "daisyrelay/limits/classqueues.h"
#include "daisyrelay/limits/connectionpool.h"
#include "daisyrelay/limits/poolwork.h"
#include "daisyrelay/limits/reconnectschedule.h"
#include "daisyrelay/limits/requestgate.h"
#include "daisyrelay/limits/retrybudget.h"
#include "daisyrelay/limits/returnschedule.h"
#include "daisyrelay/limits/servicetime.h"
