// Public header of the telemetry library: rate-limited structured log lines, counters, gauges and latency histograms.
#pragma once

#include "daisyrelay/telemetry/eventlog.h"
#include "daisyrelay/telemetry/metrics.h"
