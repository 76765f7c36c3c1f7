// Public header of the load library: generates bounded load on entries and reports the results seen by callers.
#pragma once

#include "daisyrelay/load/loadoptions.h"
#include "daisyrelay/load/loadreport.h"
#include "daisyrelay/load/loadrunner.h"
