// Public header of the limits library: scarce connections, queues and admission.
#pragma once

#include "daisyrelay/limits/backoff.h"
#include "daisyrelay/limits/connectionpool.h"
#include "daisyrelay/limits/retrybudget.h"
