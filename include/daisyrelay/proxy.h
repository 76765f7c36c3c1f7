// Public header of the proxy library: sessions of callers, their transactions, and the connections to backend servers
// that run their statements.
#pragma once

#include "daisyrelay/proxy/backendpool.h"
#include "daisyrelay/proxy/commitreceipts.h"
#include "daisyrelay/proxy/freshnesshistory.h"
#include "daisyrelay/proxy/primarylease.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxycore.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/session.h"
