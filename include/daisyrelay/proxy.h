// Public header of the proxy library: sessions that callers hold open, their transactions, and the connections to
// backend servers on which their statements run.
#pragma once

#include "daisyrelay/proxy/backendpool.h"
#include "daisyrelay/proxy/freshnesshistory.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxycore.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/session.h"
