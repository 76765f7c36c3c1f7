// Public header of the telemetry library: structured log lines within a budget, counters and latency histograms.
#pragma once

#include "daisyrelay/telemetry/eventlog.h"
#include "daisyrelay/telemetry/metrics.h"
