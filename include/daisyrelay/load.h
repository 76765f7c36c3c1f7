// Public header of the load library: bounded load on an entry and a readable report of what callers saw.
#pragma once

#include "daisyrelay/load/loadoptions.h"
#include "daisyrelay/load/loadreport.h"
#include "daisyrelay/load/loadrunner.h"
