// Runs sessions against the entries and verifies the consistency guarantees of each session.
#pragma once

#include "daisyrelay/load/loadoptions.h"
#include "daisyrelay/load/loadreport.h"

namespace daisyrelay {

/// Runs the load on the calling thread and returns its results after the final verification.
LoadReport runLoad(const LoadOptions &options);

} // namespace daisyrelay
