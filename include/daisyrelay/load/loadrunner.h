// Runs sessions against the entries and checks what each session was promised.
#pragma once

#include "daisyrelay/load/loadoptions.h"
#include "daisyrelay/load/loadreport.h"

namespace daisyrelay {

/// Runs the load on the calling thread until it is over.
LoadReport runLoad(const LoadOptions &options);

} // namespace daisyrelay
