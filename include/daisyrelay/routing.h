// Public header of the routing library, which chooses the database that runs a statement.
#pragma once

#include "daisyrelay/routing/backendtable.h"
#include "daisyrelay/routing/leasestate.h"
#include "daisyrelay/routing/primaryhistory.h"
#include "daisyrelay/routing/readload.h"
#include "daisyrelay/routing/router.h"
